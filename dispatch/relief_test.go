package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

// host is an engine with one worker of 64 processors and the readings that tests
// feed to it.
type host struct {
	*Engine
	view *view
	jobs workflow.JobID
}

const targetMs = 50

func newHost(t *testing.T) *host {
	state := workflow.NewState()
	queue := workflow.Queue{Name: "q", Host: "h", PathPrefix: "/", Service: "s", TimeoutMs: 1000}
	catalog := workflow.Catalog{Version: 1, Queues: []workflow.Queue{queue}, Services: []workflow.Service{{Name: "s"}}}
	require.NoError(t, state.Apply(&workflow.Op{SetCatalog: &workflow.SetCatalog{Catalog: catalog}}))
	capacity := workflow.Resources{MilliProcessors: 64000, MemoryMB: 64000}
	require.NoError(t, state.Apply(&workflow.Op{Join: &workflow.Join{Life: workflow.Incarnation{Name: "w", BornMs: 1}, Address: "w:1", Service: "s", Capacity: capacity}}))
	h := &host{Engine: New(Settings{Lease: time.Minute, MaxLease: time.Minute}, zerolog.Nop(), 1, state, 1)}
	h.view = h.list[0]
	h.view.fenced, h.view.clockMs = true, 1
	return h
}

// add starts a task of its own job on the worker.
func (h *host) add(t *testing.T, step workflow.Step) *attempt {
	h.jobs++
	step.Count = 1
	require.NoError(t, h.state.Apply(&workflow.Op{Accept: &workflow.Accept{ID: h.jobs, Queue: "q", Spec: workflow.JobSpec{Steps: []workflow.Step{step}}}}))
	ref := workflow.TaskRef{Job: h.jobs}
	require.NoError(t, h.state.Apply(&workflow.Op{Place: &workflow.Place{Task: ref, Worker: h.view.worker.ID, Attempt: 1}}))
	a := &attempt{ref: ref, number: 1, committed: true, running: true, percent: fullShare, share: fullShare, wantShare: fullShare, placedAt: h.now}
	h.view.add(a)
	return a
}

func serving(image string) workflow.Step {
	return workflow.Step{Resources: workflow.Resources{MilliProcessors: 10000}, Lasting: true, LatencyTargetMs: targetMs, Image: image}
}

func scavenging(image string) workflow.Step {
	return workflow.Step{Resources: workflow.Resources{MilliProcessors: 6400}, EstimatedMs: 2000, Scavenger: true, Image: image}
}

// read feeds one reading of each attempt, half a second after the last.
func (h *host) read(gauges map[*attempt]int64) {
	h.now = h.now.Add(500 * time.Millisecond)
	for a, gauge := range gauges {
		a.gauge, a.gaugeAt = gauge, h.now
	}
	h.relieve(h.view)
}

// latencyAt is the tail latency in milliseconds at a slack.
func latencyAt(slack float64) int64 { return int64(targetMs / slack) }

func TestAHeavyScavengerIsThrottledAndALightOneIsNot(t *testing.T) {
	h := newHost(t)
	alone, beside := h.add(t, serving("web")), h.add(t, serving("web"))
	for range 10 {
		h.read(map[*attempt]int64{alone: latencyAt(2), beside: latencyAt(2)})
	}
	heavy := h.add(t, scavenging("heavy"))
	for range 10 {
		h.read(map[*attempt]int64{alone: latencyAt(1.05), beside: latencyAt(1.05), heavy: 6400})
	}
	assert.Less(t, heavy.wantShare, fullShare)
	h.noteDeparted(h.view, heavy)
	h.view.remove(heavy)
	light := h.add(t, scavenging("light"))
	for range 10 {
		h.read(map[*attempt]int64{alone: latencyAt(1.95), beside: latencyAt(1.95), light: 6400})
	}
	assert.Equal(t, fullShare, light.wantShare)
	assert.Less(t, h.headroomOf(scavenging("heavy")), h.headroomOf(scavenging("light")))
}

func (h *host) headroomOf(step workflow.Step) float64 {
	return h.candidateOf(h.view).headroom(h.Engine, &step, h.slowdown.pairs.Image(step.Image))
}

// TestAScavengerThatEndedIsNotBlamedOnOthers: a look is answered when a task ends,
// so that the gauges still cover the time in which it ran.
func TestAScavengerThatEndedIsNotBlamedOnOthers(t *testing.T) {
	h := newHost(t)
	web, light := h.add(t, serving("web")), h.add(t, scavenging("light"))
	for range 20 {
		h.read(map[*attempt]int64{web: latencyAt(2.5), light: 6400})
	}
	image := h.slowdown.pairs.Image
	before, _ := h.slowdown.pairs.Loss(image("web"), image("light"))
	for range 10 {
		heavy := h.add(t, scavenging("heavy"))
		h.read(map[*attempt]int64{web: latencyAt(1.5), light: 6400, heavy: 6400})
		h.now = h.now.Add(500 * time.Millisecond)
		h.noteDeparted(h.view, heavy)
		h.view.remove(heavy)
		web.gauge, web.gaugeAt, light.gaugeAt = latencyAt(1.5), h.now, h.now
		h.relieve(h.view)
		for range 6 {
			h.read(map[*attempt]int64{web: latencyAt(2.5), light: 6400})
		}
	}
	after, _ := h.slowdown.pairs.Loss(image("web"), image("light"))
	assert.Less(t, after-before, 0.5)
}

// TestALoadThatRisesIsForeseen: throttles follow where the load will be.
func TestALoadThatRisesIsForeseen(t *testing.T) {
	h := newHost(t)
	web := h.add(t, serving("web"))
	slack := 3.5
	for range 4 {
		h.read(map[*attempt]int64{web: latencyAt(1.1)}) // The range of the image.
	}
	for range 20 {
		h.read(map[*attempt]int64{web: latencyAt(3.5)})
	}
	for range 6 {
		slack -= 0.3
		h.read(map[*attempt]int64{web: latencyAt(slack)})
	}
	image := h.slowdown.pairs.Image("web")
	foreseen := h.slowdown.ownSlack(web.ref.Job, image, h.now)
	assert.InDelta(t, slack-0.35, foreseen, 0.25)
}

func TestATaskWithoutReadingsIsProtected(t *testing.T) {
	h := newHost(t)
	h.add(t, serving("web"))
	for range 3 {
		h.add(t, scavenging("unknown"))
	}
	h.read(nil)
	share := 0
	for _, a := range h.view.list {
		if a.wantShare < fullShare {
			share++
		}
	}
	assert.Positive(t, share, "some of the unknown neighbours are throttled")
}

// TestATaskBelowTheRangeOfItsImageIsProtected: the range tells how far a
// prediction may be trusted, and must not hide what the gauge shows.
func TestATaskBelowTheRangeOfItsImageIsProtected(t *testing.T) {
	h := newHost(t)
	usual, ill, heavy := h.add(t, serving("web")), h.add(t, serving("web")), h.add(t, scavenging("heavy"))
	for range minRangeReadings + 10 {
		h.read(map[*attempt]int64{usual: latencyAt(2.5)})
	}
	for range 8 {
		h.read(map[*attempt]int64{usual: latencyAt(1.6), ill: latencyAt(0.95), heavy: 6400})
	}
	assert.Less(t, heavy.wantShare, fullShare)
}
