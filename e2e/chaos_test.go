package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
)

const (
	// defaultFaultCount is the number of faults injected in one run.
	// MANGOHILL_CHAOS_STEPS and MANGOHILL_CHAOS_SEED override it and the seed.
	defaultFaultCount = 8
	defaultChaosSeed  = 20261204
	// faultInterval is the pause between two faults.
	faultInterval = 500 * time.Millisecond
)

func envUint64(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return value
}

// bookingRecord holds the outcomes that were returned for one idempotency key.
type bookingRecord struct {
	key      string
	outcomes []string
}

// bookingLoad sends non-idempotent requests. It resends each under its key through
// the next entry host until it is done or maxSends is reached.
type bookingLoad struct {
	cluster *cluster
	stop    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	records []bookingRecord
}

func (b *bookingLoad) start(callers int) {
	b.stop = make(chan struct{})
	for caller := range callers {
		b.wait.Go(func() {
			for i := caller; ; i++ {
				select {
				case <-b.stop:
					return
				default:
					b.book(i)
				}
			}
		})
	}
}

func (b *bookingLoad) book(i int) {
	const maxSends = 5
	record := bookingRecord{key: uuid.NewString()}
	for try := range maxSends {
		got := b.cluster.sendRequest((i+try)%len(b.cluster.entries), http.MethodPost, "booking", record.key, "booking")
		outcome := got.outcome
		if got.err != nil {
			outcome = "broken"
		}
		record.outcomes = append(record.outcomes, outcome)
		if outcome == "done" {
			break
		}
	}
	b.mu.Lock()
	b.records = append(b.records, record)
	b.mu.Unlock()
}

func (b *bookingLoad) stopAndWait() {
	close(b.stop)
	b.wait.Wait()
}

// check compares the outcomes that callers got with the runs at the targets and
// returns the number of bookings that were done.
func (b *bookingLoad) check(targets []*fake.Target) (done int) {
	for _, record := range b.records {
		runs := 0
		for _, target := range targets {
			runs += target.Runs(record.key)
		}
		outcomes := strings.Join(record.outcomes, ", ")
		assert.LessOrEqual(b.cluster.t, runs, 1, "booking %s: outcomes %s", record.key, outcomes)
		if strings.Contains(outcomes, "done") {
			done++
			assert.Equal(b.cluster.t, 1, runs, "booking %s: outcomes %s", record.key, outcomes)
		}
		if strings.Trim(strings.ReplaceAll(outcomes, "not-run", ""), ", ") == "" {
			assert.Zero(b.cluster.t, runs, "booking %s: outcomes %s", record.key, outcomes)
		}
	}
	return done
}

// faultInjector injects random faults into a cluster, one at a time.
type faultInjector struct {
	*cluster
	random       *rand.Rand
	journal      *fake.Journal
	crashWorker  []func()
	incarnations []int
}

func (c *faultInjector) injectFault() string {
	control := c.random.IntN(len(c.control))
	entry := c.random.IntN(len(c.entries))
	switch c.random.IntN(6) {
	case 0:
		restart(c.control[control])
		return fmt.Sprintf("control-%d killed and started", control+1)
	case 1:
		freeze(c.control[control], 4*faultInterval)
		return fmt.Sprintf("control-%d frozen for a while", control+1)
	case 2:
		restart(c.entries[entry])
		return fmt.Sprintf("entry-%d killed and started", entry+1)
	case 3:
		freeze(c.entries[entry], 4*faultInterval)
		return fmt.Sprintf("entry-%d frozen for a while", entry+1)
	case 4:
		worker := c.random.IntN(len(c.crashWorker))
		c.crashWorker[worker]()
		c.startWorker(worker)
		return fmt.Sprintf("w%d lost and back", worker+1)
	default:
		c.replaceDisk(control)
		return fmt.Sprintf("control-%d lost its disk", control+1)
	}
}

func restart(p *process) {
	p.kill()
	time.Sleep(faultInterval)
	p.start()
}

func freeze(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (c *faultInjector) replaceDisk(i int) {
	c.awaitVoters(len(c.control))
	lost := c.memberID(i)
	c.control[i].kill()
	removeAll(c.t, c.dataDir(i))
	c.control[i].start()
	c.eventually("the repaired host votes under a new identity", func() bool {
		id := c.memberID(i)
		return id != "" && id != lost
	})
}

func (c *faultInjector) startWorker(i int) {
	c.incarnations[i]++
	_, crash := c.startIncarnation(c.journal, fmt.Sprintf("w%d", i+1), 8, uint64(c.incarnations[i]))
	c.crashWorker[i] = crash
}

// TestFaultsInARow injects faults one after the other while callers send bookings
// and batch jobs run. No acknowledged command or booking may be lost, no booking
// may run twice, and no task may run in two places at the same time.
func TestFaultsInARow(t *testing.T) {
	steps := envUint64(t, "MANGOHILL_CHAOS_STEPS", defaultFaultCount)
	seed := envUint64(t, "MANGOHILL_CHAOS_SEED", defaultChaosSeed)
	const workers = 4
	c := &faultInjector{
		cluster: newCluster(t, 3, 3), random: rand.New(rand.NewPCG(seed, 0)), journal: fake.NewJournal(),
		crashWorker: make([]func(), workers), incarnations: make([]int, workers),
	}
	c.setConfig(shortLeases)
	for i := range workers {
		c.startWorker(i)
	}
	targets := c.startTargets("booking", 3, 50*time.Millisecond)
	load := &bookingLoad{cluster: c.cluster}
	load.start(6)
	var jobs []string
	for i := range steps {
		name := fmt.Sprintf("job-%d", i)
		jobs = append(jobs, name)
		c.command(int(i)%len(c.entries), fmt.Sprintf(`declare batch %s { processors 2 memory 1GiB payload "{\"run_ms\": 800}" }`, name))
		t.Logf("step %d: %s", i, c.injectFault())
		time.Sleep(faultInterval)
	}
	load.stopAndWait()
	c.awaitVoters(len(c.control))
	for _, name := range jobs {
		c.eventually(name+" finished", func() bool { return c.taskState(0, name) == "finished" })
		assert.NotZero(t, c.journal.Finished(name), name)
	}
	for _, violation := range c.journal.Violations() {
		// If a worker crashes after its task ended and before it reported the end, the
		// task runs again. A task must still never run in two places at the same time.
		assert.NotContains(t, violation, "is live at")
	}
	done := load.check(targets)
	t.Logf("seed %d: %d bookings, %d done", seed, len(load.records), done)
	assert.NotZero(t, done)
}
