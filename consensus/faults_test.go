package consensus_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// action is one fault, or time to pass.
type action struct {
	Kind  string
	Host  int
	Count int
	Quiet bool
}

var actions = rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind: rapid.SampledFrom([]string{
			"run", "run", "run", "crash", "crash at write", "start", "start", "start", "freeze", "cut", "cut link", "join", "lose disk", "rate", "hand over", "grow",
		}).Draw(t, "kind"),
		Host:  rapid.IntRange(0, 4).Draw(t, "host"),
		Count: rapid.IntRange(1, 4*simElectionTicks).Draw(t, "count"),
		Quiet: rapid.Bool().Draw(t, "quiet"),
	}
})

func (s *sim) do(a action) {
	h := s.hosts[a.Host%len(s.hosts)]
	switch a.Kind {
	case "crash":
		if h.core != nil {
			h.crash()
		}
	case "crash at write":
		h.disk.CrashAfter(a.Count % 12)
	case "start":
		h.start()
	case "freeze":
		h.frozen = s.now + a.Count
	case "cut":
		s.cut[h] = true
	case "cut link":
		s.links[[2]*host{h, s.hosts[(a.Host+a.Count)%len(s.hosts)]}] = true
	case "join":
		delete(s.cut, h)
		clear(s.links)
	case "lose disk":
		if h.repair || s.repairs() < s.tolerated() {
			h.loseDisk()
		}
	case "grow":
		if len(s.hosts) < maxHosts {
			s.add()
		}
	case "hand over":
		if h.isRunning() {
			h.core.TransferLeadership()
			h.settle()
		}
	case "rate":
		h.rate = rateUnit - 1 + a.Count%3
	}
	s.run(a.Count, a.Quiet)
}

func (h *host) start() {
	if h.core == nil {
		h.disk.Crash()
		h.boot()
	}
}

// run lets time pass, with a command every few ticks unless it is quiet.
func (s *sim) run(ticks int, quiet bool) {
	for range ticks {
		s.step()
		if !quiet && s.random.IntN(3) == 0 {
			s.propose()
		}
	}
	s.checkLogs()
}

// catch returns the violation that f ends with, if any.
func catch(f func()) (found string) {
	defer func() {
		if r := recover(); r != nil {
			v, ok := r.(violation)
			if !ok {
				panic(r)
			}
			found = string(v)
		}
	}()
	f()
	return ""
}

// TestPlansThatFailedOnce repeats plans that rapid found.
func TestPlansThatFailedOnce(t *testing.T) {
	plans := map[string]struct {
		size    int
		faults  faults
		seed    uint64
		actions []action
	}{
		"answer to a snapshot lost, then the leader compacted past it": {5, faults{loss: 0.02, delay: 2}, 4, []action{
			{"run", 0, 2, true}, {"run", 0, 3, true}, {"crash at write", 4, 31, true}, {"rate", 1, 5, false},
			{"run", 4, 17, false}, {"lose disk", 4, 20, false}, {"cut", 4, 29, false}, {"run", 1, 2, true},
			{"rate", 0, 12, true}, {"run", 1, 2, false},
		}},
		"a learner holds its own admission, which was never committed": {5, faults{loss: 0.2, duplicate: 0.1, delay: 1}, 0x47, []action{
			{"run", 0, 8, false}, {"crash", 4, 13, true}, {"run", 0, 5, false}, {"run", 4, 4, false}, {"run", 2, 3, false},
			{"run", 3, 38, true}, {"start", 0, 10, false}, {"run", 3, 2, false}, {"hand over", 1, 38, true},
			{"crash", 4, 26, true}, {"run", 3, 3, false}, {"lose disk", 2, 2, true}, {"crash at write", 3, 2, true},
			{"start", 2, 13, true}, {"crash at write", 0, 23, false},
		}},
	}
	for name, plan := range plans {
		assert.Empty(t, follow(newSim(plan.seed, plan.size, plan.faults), plan.actions), name)
	}
}

// follow carries out a plan and returns the violation found.
func follow(s *sim, plan []action) string {
	return catch(func() {
		s.run(warmUp, false)
		for _, a := range plan {
			s.do(a)
		}
		s.heal()
	})
}

// TestGroupUnderFaults drives three or five replicas, and more that join, through
// message loss, duplication and reordering, crashes at any write, lost unsynced
// writes, lost disks with repair, freezes, cut-off hosts, leaders that hand over,
// and clocks that run apart.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		f := faults{
			loss:      rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
			duplicate: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicate"),
			delay:     rapid.IntRange(0, 6).Draw(t, "delay"),
		}
		s := newSim(rapid.Uint64().Draw(t, "seed"), size, f)
		plan := rapid.SliceOfN(actions, 10, 60).Draw(t, "actions")
		if found := follow(s, plan); found != "" {
			t.Fatal(found)
		}
	})
}
