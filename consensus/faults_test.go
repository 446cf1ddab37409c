package consensus_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestMain sets a fixed rapid seed, unless the command line sets one.
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

// planStep injects one fault, or ends one, and then lets Count ticks pass.
// Quiet means that no commands are proposed meanwhile.
type planStep struct {
	Kind  string
	Host  int
	Count int
	Quiet bool
}

var planSteps = rapid.Custom(func(t *rapid.T) planStep {
	return planStep{
		Kind: rapid.SampledFrom([]string{
			"run", "run", "run", "crash", "crash at write", "fill disk", "start", "start", "start", "freeze", "isolate", "cut link", "reconnect", "lose disk", "change clock rate", "transfer leadership", "add host",
		}).Draw(t, "kind"),
		Host:  rapid.IntRange(0, 4).Draw(t, "host"),
		Count: rapid.IntRange(1, 4*simElectionTicks).Draw(t, "count"),
		Quiet: rapid.Bool().Draw(t, "quiet"),
	}
})

func (s *sim) execute(a planStep) {
	h := s.hosts[a.Host%len(s.hosts)]
	switch a.Kind {
	case "crash":
		if h.core != nil {
			h.crash()
		}
	case "crash at write":
		h.disk.CrashAfter(a.Count % 12)
	case "fill disk":
		h.disk.FillAfter(a.Count%12, 1+a.Count)
	case "start":
		h.restartIfDown()
	case "freeze":
		h.frozenUntil = s.now + a.Count
	case "isolate":
		s.isolated[h] = true
	case "cut link":
		s.cutLinks[[2]*host{h, s.hosts[(a.Host+a.Count)%len(s.hosts)]}] = true
	case "reconnect":
		delete(s.isolated, h)
		clear(s.cutLinks)
	case "lose disk":
		if h.awaitsRepair || s.pendingRepairs() < s.toleratedDiskLosses() {
			h.loseDisk()
		}
	case "add host":
		if len(s.hosts) < maxHosts {
			s.add()
		}
	case "transfer leadership":
		if h.isRunning() {
			h.core.TransferLeadership()
			h.processReady()
		}
	case "change clock rate":
		h.clockRate = nominalClockRate - 1 + a.Count%3
	}
	s.run(a.Count, a.Quiet)
}

func (h *host) restartIfDown() {
	if h.core == nil {
		h.crash()
		h.boot()
	}
}

// run lets ticks pass. Unless quiet, it proposes a command in one of three
// ticks on average.
func (s *sim) run(ticks int, quiet bool) {
	for range ticks {
		s.step()
		if !quiet && s.random.IntN(3) == 0 {
			s.propose()
		}
	}
	s.checkLogs()
}

// catchViolation runs operation and returns the violation that it panics with,
// empty if none.
func catchViolation(operation func()) (found string) {
	defer func() {
		if r := recover(); r != nil {
			v, ok := r.(violation)
			if !ok {
				panic(r)
			}
			found = string(v)
		}
	}()
	operation()
	return ""
}

// TestPlansThatFailedOnce repeats fault plans for which rapid found violations
// in earlier versions.
func TestPlansThatFailedOnce(t *testing.T) {
	plans := map[string]struct {
		size    int
		faults  faults
		seed    uint64
		actions []planStep
	}{
		"response to a snapshot lost, then the leader compacted past that snapshot": {5, faults{loss: 0.02, delay: 2}, 4, []planStep{
			{"run", 0, 2, true}, {"run", 0, 3, true}, {"crash at write", 4, 31, true}, {"change clock rate", 1, 5, false},
			{"run", 4, 17, false}, {"lose disk", 4, 20, false}, {"isolate", 4, 29, false}, {"run", 1, 2, true},
			{"change clock rate", 0, 12, true}, {"run", 1, 2, false},
		}},
		"a learner's log holds its own admission, which was never committed": {5, faults{loss: 0.2, duplicate: 0.1, delay: 1}, 0x47, []planStep{
			{"run", 0, 8, false}, {"crash", 4, 13, true}, {"run", 0, 5, false}, {"run", 4, 4, false}, {"run", 2, 3, false},
			{"run", 3, 38, true}, {"start", 0, 10, false}, {"run", 3, 2, false}, {"transfer leadership", 1, 38, true},
			{"crash", 4, 26, true}, {"run", 3, 3, false}, {"lose disk", 2, 2, true}, {"crash at write", 3, 2, true},
			{"start", 2, 13, true}, {"crash at write", 0, 23, false},
		}},
	}
	for name, plan := range plans {
		assert.Empty(t, runPlan(newSim(plan.seed, plan.size, plan.faults), plan.actions), name)
	}
}

// runPlan executes a plan, ends all faults, and returns the violation found.
func runPlan(s *sim, plan []planStep) string {
	return catchViolation(func() {
		s.run(warmUpTicks, false)
		for _, a := range plan {
			s.execute(a)
		}
		s.endFaultsAndCheck()
	})
}

// TestGroupUnderFaults runs three or five replicas, and more that join, under
// message loss, duplication and reordering, crashes at any write, full
// disks at any write, loss of unsynced writes, loss of whole disks with repair, frozen hosts, network
// partitions, leadership transfers, and clocks with different rates.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		f := faults{
			loss:      rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
			duplicate: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicate"),
			delay:     rapid.IntRange(0, 6).Draw(t, "delay"),
		}
		s := newSim(rapid.Uint64().Draw(t, "seed"), size, f)
		plan := rapid.SliceOfN(planSteps, 10, 60).Draw(t, "actions")
		if found := runPlan(s, plan); found != "" {
			t.Fatal(found)
		}
	})
}
