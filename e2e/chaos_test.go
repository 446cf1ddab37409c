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
	// defaultChaosSteps is the number of faults of a run; MANGOHILL_CHAOS_STEPS and
	// MANGOHILL_CHAOS_SEED replace it and the seed.
	defaultChaosSteps = 8
	defaultChaosSeed  = 20261204
	// chaosPause is the time between two faults.
	chaosPause = 500 * time.Millisecond
)

func fromEnvironment(t *testing.T, name string, otherwise uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return value
}

// booking is what callers were told about one key.
type booking struct {
	key      string
	outcomes []string
}

// bookings sends non-idempotent requests, and again until their end is known,
// through whichever entry host answers.
type bookings struct {
	cluster *cluster
	stop    chan struct{}
	wait    sync.WaitGroup
	mu      sync.Mutex
	list    []booking
}

func (b *bookings) start(callers int) {
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

func (b *bookings) book(i int) {
	const tries = 5
	one := booking{key: uuid.NewString()}
	for try := range tries {
		got := b.cluster.request((i+try)%len(b.cluster.entries), http.MethodPost, "booking", one.key, "booking")
		outcome := got.outcome
		if got.err != nil {
			outcome = "broken"
		}
		one.outcomes = append(one.outcomes, outcome)
		if outcome == "done" {
			break
		}
	}
	b.mu.Lock()
	b.list = append(b.list, one)
	b.mu.Unlock()
}

func (b *bookings) end() {
	close(b.stop)
	b.wait.Wait()
}

// check compares what callers were told with what the targets ran.
func (b *bookings) check(targets []*fake.Target) (done int) {
	for _, one := range b.list {
		runs := 0
		for _, target := range targets {
			runs += target.Runs(one.key)
		}
		told := strings.Join(one.outcomes, ", ")
		assert.LessOrEqual(b.cluster.t, runs, 1, "booking %s: told %s", one.key, told)
		if strings.Contains(told, "done") {
			done++
			assert.Equal(b.cluster.t, 1, runs, "booking %s: told %s", one.key, told)
		}
		if strings.Trim(strings.ReplaceAll(told, "not-run", ""), ", ") == "" {
			assert.Zero(b.cluster.t, runs, "booking %s: told %s", one.key, told)
		}
	}
	return done
}

// chaos injects one fault after the other.
type chaos struct {
	*cluster
	random  *rand.Rand
	journal *fake.Journal
	cuts    []func()
	lives   []int
}

func (c *chaos) step() string {
	control := c.random.IntN(len(c.control))
	entry := c.random.IntN(len(c.entries))
	switch c.random.IntN(6) {
	case 0:
		restart(c.control[control])
		return fmt.Sprintf("control-%d killed and started", control+1)
	case 1:
		freeze(c.control[control], 4*chaosPause)
		return fmt.Sprintf("control-%d frozen for a while", control+1)
	case 2:
		restart(c.entries[entry])
		return fmt.Sprintf("entry-%d killed and started", entry+1)
	case 3:
		freeze(c.entries[entry], 4*chaosPause)
		return fmt.Sprintf("entry-%d frozen for a while", entry+1)
	case 4:
		worker := c.random.IntN(len(c.cuts))
		c.cuts[worker]()
		c.startWorker(worker)
		return fmt.Sprintf("w%d lost and back", worker+1)
	default:
		c.loseDisk(control)
		return fmt.Sprintf("control-%d lost its disk", control+1)
	}
}

func restart(p *process) {
	p.kill()
	time.Sleep(chaosPause)
	p.start()
}

func freeze(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (c *chaos) loseDisk(i int) {
	c.awaitVoters(len(c.control))
	lost := c.memberID(i)
	c.control[i].kill()
	removeAll(c.t, c.data(i))
	c.control[i].start()
	c.eventually("the repaired host votes under a new identity", func() bool {
		id := c.memberID(i)
		return id != "" && id != lost
	})
}

func (c *chaos) startWorker(i int) {
	c.lives[i]++
	_, cut := c.workerIncarnation(c.journal, fmt.Sprintf("w%d", i+1), 8, uint64(c.lives[i]))
	c.cuts[i] = cut
}

// TestFaultsInARow injects faults one after the other while callers book and
// batch jobs run: nothing acknowledged is lost, nothing runs twice.
func TestFaultsInARow(t *testing.T) {
	steps := fromEnvironment(t, "MANGOHILL_CHAOS_STEPS", defaultChaosSteps)
	seed := fromEnvironment(t, "MANGOHILL_CHAOS_SEED", defaultChaosSeed)
	const workers = 4
	c := &chaos{
		cluster: newCluster(t, 3, 3), random: rand.New(rand.NewPCG(seed, 0)), journal: fake.NewJournal(),
		cuts: make([]func(), workers), lives: make([]int, workers),
	}
	c.setConfig(shortLeases)
	for i := range workers {
		c.startWorker(i)
	}
	targets := c.targets("booking", 3, 50*time.Millisecond)
	callers := &bookings{cluster: c.cluster}
	callers.start(6)
	var jobs []string
	for i := range steps {
		name := fmt.Sprintf("job-%d", i)
		jobs = append(jobs, name)
		c.command(int(i)%len(c.entries), fmt.Sprintf(`declare batch %s { processors 2 memory 1GiB payload "{\"run_ms\": 800}" }`, name))
		t.Logf("step %d: %s", i, c.step())
		time.Sleep(chaosPause)
	}
	callers.end()
	c.awaitVoters(len(c.control))
	for _, name := range jobs {
		c.eventually(name+" finished", func() bool { return c.taskState(0, name) == "finished" })
		assert.NotZero(t, c.journal.Finished(name), name)
	}
	for _, violation := range c.journal.Violations() {
		// A worker that is lost right after its task ended takes the report along, so
		// that the task runs again; two places at once are never allowed.
		assert.NotContains(t, violation, "is live at")
	}
	done := callers.check(targets)
	t.Logf("seed %d: %d bookings, %d done", seed, len(callers.list), done)
	assert.NotZero(t, done)
}
