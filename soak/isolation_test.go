package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// silence is how long a worker that restarts silently is down.
	silence = 600 * time.Millisecond
	// isolation is how long restarted workers are cut off from all control processes.
	isolation = 9 * time.Second
	// One short job in overrunOneIn has tasks that take overrunFactor times as long as estimated.
	overrunOneIn, overrunFactor = 6, 12
	// overrunEstimate is the estimate of the tasks of submitOverruns.
	overrunEstimate = 2500 * time.Millisecond
	// Callers submit one job in isolatedLoadOneIn beside the isolation, which the workers of the
	// other domain can run beside the lasting tasks.
	isolatedLoadOneIn = 8
	// leaderDowntime is how long a killed leader is away.
	leaderDowntime = time.Second
)

// leader returns the control process that decides as the leader, or nil.
func (f *fleet) leader() *process {
	client := &http.Client{Timeout: time.Second}
	for _, p := range f.processes[:controlCount] {
		if _, metrics := call(client, http.MethodGet, "http://"+p.ip+":9464/metrics", ""); strings.Contains(metrics, `"Serving":true`) {
			return p
		}
	}
	return nil
}

// killLeader kills the leader, if there is one, and starts it again. The caller holds
// processFault, which is unlocked once the process counts as up again.
func (f *fleet) killLeader() {
	defer f.processFault.Unlock()
	p := f.leader()
	if p == nil {
		return
	}
	end := f.checks.beginFault(&f.checks.calm)
	p.kill()
	time.Sleep(leaderDowntime)
	f.start(p, false)
	end()
	time.Sleep(startupGrace)
}

// workersOf returns the workers of a domain.
func (f *fleet) workersOf(domain string) []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var workers []*worker
	for _, w := range f.workers {
		if w.domain() == domain {
			workers = append(workers, w)
		}
	}
	return workers
}

// reserveDomain sets *mine to a domain, unless *other is another domain, and reports whether it did.
func (f *fleet) reserveDomain(mine, other *string, domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *other != "" && *other != domain {
		return false
	}
	*mine = domain
	return true
}

func (f *fleet) releaseDomain(mine *string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*mine = ""
}

// restartSilently restarts workers under their names. Orders of the second before get no answer
// and may be carried out by the next incarnations, as are the calls that arrive in between. It
// returns the next incarnations of those workers that had not ended before.
func (f *fleet) restartSilently(workers []*worker) []*worker {
	for _, w := range workers {
		f.late.setEnding(w.place, true)
		defer f.late.setEnding(w.place, false)
	}
	time.Sleep(time.Second)
	var ended, next []*worker
	for _, w := range workers {
		if w.endSilently() {
			ended = append(ended, w)
		}
	}
	time.Sleep(silence)
	for _, w := range ended {
		if w = f.succeed(w, f.late.take(w.place)); w != nil {
			next = append(next, w)
		}
	}
	return next
}

// isolate cuts workers off from all control processes for some time.
func isolate(workers []*worker, d time.Duration) {
	for _, w := range workers {
		defer w.cut(true)()
	}
	time.Sleep(d)
}

// restartAndIsolateRepeatedly restarts workers of a domain silently and cuts them off from 1 to
// 3 s later on, once or twice, beside tasks that take longer than estimated. The leader may be
// killed in between.
func (f *fleet) restartAndIsolateRepeatedly(domain string, rng *rand.Rand) {
	for !f.reserveDomain(&f.isolated, &f.evacuated, domain) {
		time.Sleep(100 * time.Millisecond)
	}
	defer f.releaseDomain(&f.isolated)
	f.overrun.Store(true)
	defer f.overrun.Store(false)
	var kills sync.WaitGroup
	defer kills.Wait()
	for range 1 + rng.IntN(2) {
		workers := f.workersOf(domain)
		workers = f.restartSilently(workers[rng.IntN(len(workers)):])
		upFor := time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		if rng.IntN(2) == 0 && f.processFault.TryLock() {
			kills.Go(f.killLeader)
		}
		time.Sleep(upFor)
		isolate(workers, isolation)
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
	}
}

// Guards against lasting tasks that stay down although sound workers can run them: their workers
// restart under their names and are cut off soon after, beside tasks that take far longer than
// estimated, so that no capacity becomes free by itself. With a new leader, and in a domain that
// is evacuated while it is cut off, the tasks must come back as well.
func TestLastingTasksComeBackAfterRestartsAndIsolation(t *testing.T) {
	for i, c := range []struct {
		name             string
		kills, evacuates bool
	}{
		{"the leader stays", false, false},
		{"the leader is killed", true, false},
		{"the domain is evacuated", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 193+uint64(i))
			f.setCatalog()
			time.Sleep(startupGrace)
			f.submitLastingJobs()
			done := make(chan struct{})
			var background sync.WaitGroup
			background.Go(func() { f.watchLastingTasks(done) })
			background.Go(func() { f.submitOverruns(done) })
			time.Sleep(5 * time.Second)
			f.late.set(f.late.random(f.seed))
			domain := domains[0]
			workers := f.restartSilently(f.workersOf(domain))
			require.NotEmpty(t, workers)
			time.Sleep(time.Second)
			if c.kills {
				f.processFault.Lock()
				background.Go(f.killLeader)
			}
			time.Sleep(time.Second)
			f.late.set(nil)
			if c.evacuates {
				background.Go(func() {
					time.Sleep(isolation / 2)
					f.checks.beginFault(f.checks.domains[domain])
					f.orderUntilConfirmed(rand.New(rand.NewPCG(f.seed, 11)), http.MethodPost, domain)
				})
			}
			isolate(workers, isolation)
			f.awaitLastingTasks()
			close(done)
			background.Wait()
			f.checkLastingJobs()
			f.checks.mu.Lock()
			defer f.checks.mu.Unlock()
			t.Logf("%d tasks started, late orders: %v", f.checks.starts, f.checks.lateOrders)
			require.Empty(t, f.checks.violations)
		})
	}
}

// submitOverruns submits jobs until done is closed whose tasks take overrunFactor times as long
// as estimated, and longer than the isolation and the longest lease together.
func (f *fleet) submitOverruns(done <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("0000000d%08x", n+1)
		f.checks.setDuration(id, overrunFactor*overrunEstimate)
		f.checks.mu.Lock()
		f.checks.submitted[id] = true
		f.checks.mu.Unlock()
		call(client, http.MethodPost, "http://"+f.ip(controlCount+n%entryCount)+":8161/q/"+id, fmt.Sprintf(`{"Spec":"spec-%s","Phases":[{"Count":2,"Cpu":1000,"MemMb":10,"EstimateMs":%d}]}`, id, overrunEstimate.Milliseconds()))
	}
}
