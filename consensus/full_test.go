package consensus_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fullDiskKinds fill disks at any write beside crashes and cut connections.
var fullDiskKinds = []string{"run", "fill disk", "fill disk", "fill disk", "crash", "start", "start", "isolate", "reconnect", "transfer leadership", "lose disk"}

// Guards against a member with a full disk that votes, acknowledges or leads with what it
// could not write, against the loss of acknowledged commands, and against a member that
// does not take part again once its disk has space.
func TestFullDisksLoseNothing(t *testing.T) {
	refused, resumed, acked := 0, 0, 0
	for seed := uint64(1); seed <= 100; seed++ {
		s, found := runRandomPlanOf(seed, mildFaults, fullDiskKinds...)
		require.Empty(t, found, "seed %d", seed)
		refused, resumed, acked = refused+s.refusedWrites, resumed+s.resumed, acked+len(s.acked)
	}
	t.Logf("100 runs: %d refused writes, %d resumed members, %d acknowledged commands", refused, resumed, acked)
	assert.Greater(t, refused, 500)
	assert.Greater(t, resumed, 300)
	assert.Greater(t, acked, 5000)
}

// The simulation must find the violation if a member counts what it could not write.
func TestACoreThatIsKeptAfterAFullDiskLosesState(t *testing.T) {
	f := mildFaults
	f.keepCore = true
	for seed := uint64(1); seed <= 100; seed++ {
		_, found := runRandomPlanOf(seed, f, fullDiskKinds...)
		for _, prefix := range []string{"durability", "state machine safety", "election safety", "leader completeness"} {
			if strings.HasPrefix(found, prefix) {
				t.Logf("seed %d: %s", seed, found)
				return
			}
		}
	}
	t.Fatal("no violation found")
}

// Guards against a follower that asks for an election, and a leader that asks itself.
func TestOnlyALeaderAbandons(t *testing.T) {
	s := newSim(1, 3, faults{})
	s.run(warmUpTicks, true)
	leader := s.leader()
	for _, h := range s.hosts {
		m, handsOver := h.core.Abandon()
		assert.Equal(t, h == leader, handsOver)
		if handsOver {
			assert.NotEqual(t, leader.id, m.To)
		}
	}
}
