package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// maxOverrun is the time for which scavengers may keep a serving task over its latency
// target; the platform's rules state it.
const maxOverrun = 4 * time.Second

// interferenceSim adds to a sim what serving tasks feel of their load and of the
// scavengers beside them. Without scavengers all of them stay within their targets.
type interferenceSim struct {
	*sim
	rng *rand.Rand
	// losses holds the slack that a pair of images costs if the scavenger uses the
	// whole worker. It changes while the tasks run.
	losses map[[2]string]float64
	// phases holds the phase of the load of each serving job.
	phases map[workflow.JobID]float64
	// recent holds the latencies of the last gaugeWindow of each serving run, in
	// milliseconds, and overSince when it went over its target.
	recent    map[*simRun][]float64
	overSince map[*simRun]Instant
	longest   time.Duration
	// worked is the processor time that scavengers used, in thousandths of a processor
	// times milliseconds.
	worked int64
}

func newInterferenceSim(t *testing.T, seed uint64) *interferenceSim {
	i := &interferenceSim{
		sim: newSim(t, seed), rng: rand.New(rand.NewPCG(seed, 2)), losses: make(map[[2]string]float64), phases: make(map[workflow.JobID]float64),
		recent: make(map[*simRun][]float64), overSince: make(map[*simRun]Instant),
	}
	i.setCatalog()
	i.every(tickInterval, i.advance)
	i.every(3*time.Second, func() { clear(i.losses) })
	return i
}

func (i *interferenceSim) loss(serving, scavenger string) float64 {
	pair := [2]string{serving, scavenger}
	if _, known := i.losses[pair]; !known {
		i.losses[pair] = i.rng.Float64() * 2
		if i.rng.IntN(3) == 0 {
			i.losses[pair] = 6 + 10*i.rng.Float64()
		}
	}
	return i.losses[pair]
}

// slack returns the true slack of a serving run.
func (i *interferenceSim) slack(run *simRun) float64 {
	if _, known := i.phases[run.ref.Job]; !known {
		i.phases[run.ref.Job] = i.rng.Float64() * 2 * math.Pi
	}
	slack := 2.4 + 1.1*math.Sin(i.phases[run.ref.Job]+time.Duration(i.now).Seconds()*2*math.Pi/20)
	for _, ref := range slices.SortedFunc(maps.Keys(run.worker.running), compareTaskRefs) {
		if other := run.worker.running[ref]; other.step.Scavenger {
			slack -= i.loss(run.step.Image, other.step.Image) * float64(other.use()) / float64(run.worker.capacity.MilliProcessors)
		}
	}
	return max(slack, 0.2)
}

// advance measures all serving runs.
func (i *interferenceSim) advance() {
	for _, address := range slices.Sorted(maps.Keys(i.workers)) {
		w, working := i.workers[address], false
		for _, run := range w.running {
			if run.step.Scavenger {
				working = working || run.use() > 0
				i.worked += run.use() * tickInterval.Milliseconds()
			}
		}
		for _, ref := range slices.SortedFunc(maps.Keys(w.running), compareTaskRefs) {
			if run := w.running[ref]; run.step.Lasting {
				i.measure(run, working)
			}
		}
	}
}

func (i *interferenceSim) measure(run *simRun, scavengersWork bool) {
	latency := float64(run.step.LatencyTargetMs) / i.slack(run)
	i.recent[run] = append(i.recent[run], latency)
	if samples := int(gaugeWindow / tickInterval); len(i.recent[run]) > samples {
		i.recent[run] = i.recent[run][1:]
	}
	sum := 0.0
	for _, sample := range i.recent[run] {
		sum += sample
	}
	run.gauge = int64(sum / float64(len(i.recent[run])) * (0.95 + 0.1*i.rng.Float64()))
	if latency <= float64(run.step.LatencyTargetMs) || !scavengersWork {
		delete(i.overSince, run)
		return
	}
	if _, over := i.overSince[run]; !over {
		i.overSince[run] = i.now
	}
	over := i.now.Sub(i.overSince[run])
	i.longest = max(i.longest, over)
	if over == maxOverrun {
		i.violate("%s on %s is over its target for %v beside scavengers that work", run.ref, run.worker.life.Name, over)
	}
}

// play runs serving tasks and a stream of scavengers on a few workers.
func (i *interferenceSim) play(d time.Duration) {
	for n := range 4 {
		i.addWorker(fmt.Sprint("w", n), 32)
	}
	i.run(time.Second)
	for job := workflow.JobID(1); job <= 5; job++ {
		serving := step(4)
		serving.Resources.MilliProcessors = 6000
		serving.Lasting, serving.LatencyTargetMs, serving.Image = true, 125, fmt.Sprint("serving", i.rng.IntN(3))
		i.offer(job, serving)
	}
	next := workflow.JobID(100)
	i.every(700*time.Millisecond, func() {
		batch := step(uint32(2 + i.rng.IntN(6)))
		batch.Resources.MilliProcessors, batch.EstimatedMs = 3500, int64(1000+i.rng.IntN(4000))
		batch.Scavenger, batch.Resumable, batch.Image = true, true, fmt.Sprint("batch", i.rng.IntN(8))
		next++
		i.offer(next, batch)
	})
	i.run(d)
}

// offer submits a job of one step without waiting until it is accepted.
func (i *interferenceSim) offer(id workflow.JobID, s workflow.Step) {
	job := &workflow.JobSpec{Payload: "p", Steps: []workflow.Step{s}}
	i.engine.HandleRequest(&Request{Verb: Submit, Host: "h", Path: "/q/" + id.String(), Job: job}, func(r Reply) { require.Nil(i.t, r.Err) })
}

// overrunSeeds returns the seeds to play: 1 to n, or to MANGOHILL_OVERRUN_SEEDS.
func overrunSeeds(t *testing.T, n uint64) uint64 {
	text := os.Getenv("MANGOHILL_OVERRUN_SEEDS")
	if text == "" {
		return n
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return n
}

// Guards against serving tasks that stay over their target because only the prediction
// throttles scavengers: their effect changes faster than the model learns it. A leader
// that is full gets each reading late, and its orders arrive late.
func TestOverrunsEndWhateverIsPredicted(t *testing.T) {
	t.Parallel()
	seeds := overrunSeeds(t, 8)
	for _, leader := range []struct {
		name               string
		delay, commitDelay time.Duration
	}{
		{"quick", networkDelay, commitDelay},
		{"busy", 100 * time.Millisecond, 200 * time.Millisecond},
		{"full", 300 * time.Millisecond, 400 * time.Millisecond},
	} {
		longest, worked := time.Duration(0), int64(0)
		for seed := uint64(1); seed <= seeds; seed++ {
			i := newInterferenceSim(t, seed)
			i.delay, i.commitDelay = leader.delay, leader.commitDelay
			i.play(40 * time.Second)
			assert.Empty(t, i.violations, "%s leader, seed %d", leader.name, seed)
			longest, worked = max(longest, i.longest), worked+i.worked
		}
		t.Logf("%s leader: longest overrun %v, scavengers used %d processor seconds a seed", leader.name, longest, worked/1_000_000/int64(seeds))
	}
}

// Guards against overruns that last because each new leader knows no pair of images yet.
func TestOverrunsEndAcrossLeaders(t *testing.T) {
	for seed := uint64(1); seed <= overrunSeeds(t, 8); seed++ {
		i := newInterferenceSim(t, seed)
		i.delay, i.commitDelay = 100*time.Millisecond, 200*time.Millisecond
		i.every(7*time.Second, i.takeOver)
		i.play(40 * time.Second)
		assert.Empty(t, i.violations, "seed %d", seed)
	}
}

// Guards against an overrun that lasts until the model has learned its cause: by the
// other tasks of its job, the task has all the slack that it needs.
func TestScavengersArePausedAgainstThePrediction(t *testing.T) {
	h := newSingleWorker(t)
	web, batch := h.addRunningTasks(t, servingStep("web"), 5), h.addRunning(t, scavengerStep("batch"))
	feed := func(slack float64, share int64) {
		gauges := map[*attempt]int64{batch: 64 * share}
		for _, a := range web {
			gauges[a] = latencyAt(3)
		}
		gauges[web[0]] = latencyAt(slack)
		h.feedReadings(gauges)
	}
	for range 100 {
		feed(3, fullShare)
	}
	feed(0.9, fullShare)
	assert.Equal(t, fullShare, batch.wantedShare, "one reading may be noise")
	feed(0.9, fullShare)
	feed(0.9, fullShare)
	assert.Zero(t, batch.wantedShare, "the task was over its target for a second")
	assert.True(t, h.overTarget(h.view) && h.scavengersPaused(h.view))
	feed(1.3, 0)
	assert.False(t, h.overTarget(h.view) || h.scavengersPaused(h.view), "the pause must end with the overrun")
}

// Guards against an overrun that is not seen as one spell since readings are rough.
func TestAReadingJustWithinTheTargetEndsNoOverrun(t *testing.T) {
	h := newSingleWorker(t)
	web := h.addRunning(t, servingStep("web"))
	h.addRunning(t, scavengerStep("batch"))
	h.feedReadings(map[*attempt]int64{web: targetMs + 1})
	h.feedReadings(map[*attempt]int64{web: targetMs - 1})
	assert.False(t, h.scavengersPaused(h.view), "the latest reading is within the target")
	h.feedReadings(map[*attempt]int64{web: targetMs + 1})
	assert.True(t, h.scavengersPaused(h.view))
	h.feedReadings(map[*attempt]int64{web: targetMs - 5})
	assert.False(t, h.overTarget(h.view))
}

// Guards against a share that the leader believes to be in force although an older
// order, carried out late, has replaced it.
func TestAnOvertakenShareIsOrderedAgain(t *testing.T) {
	h := newSingleWorker(t)
	h.view.answeredAt = h.now
	web, batch := h.addRunning(t, servingStep("web")), h.addRunning(t, scavengerStep("batch"))
	batch.wantedShare, batch.appliedShare, batch.shareAppliedAt = 25, 25, h.now
	poll := func(use int64) {
		h.now = h.now.Add(pollWait)
		answer := Answer{Order: Order{Verb: Poll, SentAt: h.now}, Outcome: Done, ClockMs: 1, Running: []RunningAttempt{
			{Task: web.ref, Attempt: 1, Percent: fullShare, Gauge: latencyAt(1.1)}, {Task: batch.ref, Attempt: 1, Percent: 10, Gauge: use},
		}}
		answer.Order.Worker = h.view.worker.ID
		h.HandleAnswer(&answer)
	}
	poll(1600)
	poll(1600)
	assert.Equal(t, 25, batch.appliedShare, "the use agrees with the share")
	poll(6400)
	assert.Equal(t, unknownShare, batch.appliedShare, "the use exceeds the share")
}

// Guards against orders that set full speed again and again, since the use of a scavenger
// is a rough figure and may exceed what it requests.
func TestFullSpeedIsNotOrderedAgain(t *testing.T) {
	h := newSingleWorker(t)
	batch, step := h.addRunning(t, scavengerStep("batch")), scavengerStep("batch")
	batch.gauge, batch.shareAppliedAt = 8000, h.now
	h.now = h.now.Add(time.Minute)
	h.checkShare(h.view, batch, &step)
	assert.Equal(t, fullShare, batch.appliedShare)
}

// Guards against a new leader that raises at once what the one before it had throttled.
func TestANewLeaderTakesOverTheShares(t *testing.T) {
	i := newInterferenceSim(t, 3)
	i.addWorker("w", 32)
	i.run(time.Second)
	serving := step(1)
	serving.Resources.MilliProcessors, serving.Lasting, serving.LatencyTargetMs, serving.Image = 6000, true, 125, "web"
	i.submit(1, serving)
	i.run(2 * time.Second)
	batch := step(4)
	batch.Resources.MilliProcessors, batch.EstimatedMs, batch.Scavenger, batch.Image = 800, 60_000, true, "light"
	i.submit(2, batch)
	i.run(time.Second)
	order := func(ref workflow.TaskRef, share int) {
		for _, w := range i.workers {
			if run := w.running[ref]; run != nil {
				run.setShare(share)
			}
		}
	}
	shares := []int{0, 25, 50, 100}
	for index, share := range shares {
		order(workflow.TaskRef{Job: 2, Index: uint32(index)}, share)
	}
	i.notSent = true
	i.run(gaugeWindow)
	i.notSent = false
	i.takeOver()
	v := i.engine.sortedViews[0]
	require.True(t, i.runUntil(5*time.Second, func() bool { return v.fenced }))
	for index, share := range shares {
		assert.Equal(t, share, v.attempts[workflow.TaskRef{Job: 2, Index: uint32(index)}].appliedShare, "task %d", index)
	}
}
