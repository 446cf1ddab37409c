package consensus_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/consensus"
)

// randomPlanLength is the number of steps of a random plan.
const randomPlanLength = 80

// runRandomPlan executes a random plan of faults and returns the violation
// found.
func runRandomPlan(seed uint64, f faults) (*sim, string) {
	return runRandomPlanOf(seed, f, "run", "run", "crash", "crash at write", "start", "start", "start", "freeze", "isolate", "cut link", "reconnect", "lose disk", "transfer leadership")
}

// runRandomPlanOf is like runRandomPlan with the given kinds of steps.
func runRandomPlanOf(seed uint64, f faults, kinds ...string) (*sim, string) {
	random := rand.New(rand.NewPCG(seed, 2))
	var s *sim
	found := catchViolation(func() {
		s = newSim(seed, 3+2*random.IntN(2), f)
		s.run(warmUpTicks, false)
		for range randomPlanLength {
			s.execute(planStep{Kind: kinds[random.IntN(len(kinds))], Host: random.IntN(5), Count: 1 + random.IntN(4*simElectionTicks), Quiet: random.IntN(2) == 0})
		}
		s.endFaultsAndCheck()
	})
	return s, found
}

// findViolation runs random plans with the given number of seeds and returns
// the first violation that starts with one of the prefixes, empty if none.
func findViolation(t *testing.T, seeds uint64, f faults, prefixes ...string) string {
	t.Helper()
	for seed := uint64(1); seed <= seeds; seed++ {
		_, found := runRandomPlan(seed, f)
		for _, prefix := range prefixes {
			if strings.HasPrefix(found, prefix) {
				t.Logf("seed %d: %s", seed, found)
				return found
			}
		}
	}
	return ""
}

// mildFaults are conditions under which a correct group makes progress.
var mildFaults = faults{loss: 0.05, duplicate: 0.05, delay: 3}

// The random plans must exercise elections, commands and repairs in sufficient
// numbers; otherwise the tests that rely on them show nothing.
func TestRandomPlansAreRich(t *testing.T) {
	elections, acked, repaired, last := 0, 0, 0, uint64(0)
	for seed := uint64(1); seed <= 20; seed++ {
		s, found := runRandomPlan(seed, mildFaults)
		require.Empty(t, found, "seed %d", seed)
		elections += s.elections
		acked += len(s.acked)
		last += s.lastCommitted
		for _, m := range s.membership.Members {
			if m.ID > 1<<62 {
				repaired++
			}
		}
	}
	t.Logf("20 runs: %d elections, %d acknowledged commands, %d entries, %d members on a new disk", elections, acked, last, repaired)
	assert.Greater(t, elections, 100)
	assert.Greater(t, acked, 2000)
	assert.Greater(t, repaired, 20)
}

// If disks ignore syncs, the simulation must find a violation. Otherwise it could
// not detect a missing sync.
func TestWithoutSyncsStateIsLost(t *testing.T) {
	f := mildFaults
	f.ignoreSync = true
	assert.NotEmpty(t, findViolation(t, 50, f, "durability", "state machine safety", "election safety", "leader completeness", "host-"))
}

// If a member keeps its ID after it lost its disk, it may vote twice in a term or
// lack entries that it acknowledged. The simulation must find that violation.
func TestLostDiskUnderTheOldIdentityLosesState(t *testing.T) {
	f := mildFaults
	f.keepIdentity = true
	assert.NotEmpty(t, findViolation(t, 300, f, "durability", "state machine safety", "election safety", "leader completeness"))
}

// runWithCutLink cuts the link between the leader and one follower, while both
// still reach the third host, and returns the violation found.
func runWithCutLink(adjust func(*consensus.Core)) string {
	return catchViolation(func() {
		s := newSim(1, 3, faults{adjust: adjust})
		s.run(warmUpTicks, false)
		s.run(10, true)
		leader := s.leader()
		follower := s.hosts[0]
		if follower == leader {
			follower = s.hosts[1]
		}
		s.cutLinks[[2]*host{leader, follower}] = true
		s.run(10*simElectionTicks, true)
	})
}

// A follower that cannot reach the leader must not be elected while a quorum still
// answers that leader. Without pre-vote the simulation must find the violation.
func TestNoLeaderIsElectedWithinAQuorumContactOfTheOldOne(t *testing.T) {
	assert.Empty(t, runWithCutLink(nil))
	found := runWithCutLink((*consensus.Core).DisablePreVote)
	t.Log(found)
	assert.Contains(t, found, "leadership handover")
}

// readAfterFreeze freezes a leader and isolates it until another leader has
// acknowledged commands, and then reads from the old leader. It returns the
// violation found.
func readAfterFreeze(adjust func(*consensus.Core)) string {
	return catchViolation(func() {
		s := newSim(1, 3, faults{adjust: adjust})
		s.run(warmUpTicks, false)
		leader := s.leader()
		leader.frozenUntil = s.now + warmUpTicks
		s.isolated[leader] = true
		s.run(warmUpTicks, false)
		s.propose()
		s.run(2*simElectionTicks, false)
	})
}

// A replaced leader must not serve reads from its old state. If it serves them
// without a heartbeat round, the simulation must find a stale read.
func TestReadsNeedAQuorum(t *testing.T) {
	assert.Empty(t, readAfterFreeze(nil))
	found := readAfterFreeze((*consensus.Core).ServeReadsLocally)
	t.Log(found)
	assert.Contains(t, found, "stale read")
}

// commitIndexOfOldTermEntry elects a leader in term 4 whose entry of term 2 is
// held by a majority, and returns its commit index before a majority holds an
// entry of term 4 (Raft paper, figure 8).
func commitIndexOfOldTermEntry(t *testing.T, adjust func(*consensus.Core)) uint64 {
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	core, err := consensus.New(consensus.Config{ID: 1}, consensus.Restored{
		HardState: consensus.HardState{Term: 3},
		Entries:   []consensus.Entry{{Index: 1, Term: 1, Type: consensus.EntryMembership, Data: members.Encode()}, {Index: 2, Term: 2}},
	})
	require.NoError(t, err)
	adjust(core)
	elect(core, 4)
	require.Equal(t, consensus.Leader, core.Status().Role)
	core.Advance(core.Ready())
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessageAppendResponse, Term: 4, Index: 2}))
	return core.Status().Commit
}

// An entry of an earlier term must not be committed because a majority holds it:
// a later leader could still overwrite it (Raft paper, figure 8).
func TestEntriesOfOldTermsAreNotCommittedByCount(t *testing.T) {
	assert.Zero(t, commitIndexOfOldTermEntry(t, func(*consensus.Core) {}))
	assert.EqualValues(t, 2, commitIndexOfOldTermEntry(t, (*consensus.Core).CommitAnyTerm))
}

// restartWithinContact cuts the link between the leader and a follower,
// repeatedly restarts the voter that both still reach, and returns the
// violation found.
func restartWithinContact(seed uint64, adjust func(*consensus.Core)) string {
	return catchViolation(func() {
		s := newSim(seed, 3, faults{adjust: adjust})
		s.run(warmUpTicks, false)
		s.run(10, true)
		leader := s.leader()
		var others []*host
		for _, h := range s.hosts {
			if h != leader {
				others = append(others, h)
			}
		}
		s.cutLinks[[2]*host{leader, others[0]}] = true
		for range 4 * simElectionTicks {
			s.run(1, true)
			if s.now%3 == 0 {
				others[1].crash()
				others[1].boot()
			}
		}
	})
}

// A restarted voter does not know when it last heard from the leader, and must not
// vote for another one within the election timeout. If it assumes no such contact,
// the simulation must find the violation.
func TestRestartedVoterDoesNotHelpToReplaceALeaderThatItMayHaveHeard(t *testing.T) {
	found := ""
	for seed := uint64(1); seed <= 20; seed++ {
		assert.Empty(t, restartWithinContact(seed, nil))
		if found == "" {
			found = restartWithinContact(seed, (*consensus.Core).ForgetLeaderContact)
		}
	}
	t.Log(found)
	assert.Contains(t, found, "leadership handover")
}

// splitWithLearner separates a leader and a learner from the two other voters
// and proposes on both sides. It returns the violation found.
func splitWithLearner(adjust func(*consensus.Core)) string {
	return catchViolation(func() {
		s := newSim(1, 3, faults{keepLearners: true, adjust: adjust})
		s.run(warmUpTicks, false)
		learner := s.add()
		s.run(warmUpTicks, false)
		leader := s.leader()
		for _, h := range s.hosts {
			if h != leader && h != learner {
				s.cutLinks[[2]*host{leader, h}] = true
				s.cutLinks[[2]*host{learner, h}] = true
			}
		}
		s.run(10*simElectionTicks, false)
	})
}

// A leader that reaches only a learner must not commit entries. If learners count
// toward the quorum, the simulation must find a committed entry that is lost.
func TestLearnersNeverCount(t *testing.T) {
	assert.Empty(t, splitWithLearner(nil))
	found := splitWithLearner((*consensus.Core).CountLearners)
	t.Log(found)
	assert.Contains(t, found, "leader completeness")
}

// ticksUntilCutLeaderStepsDown isolates the leader and returns the ticks until
// it steps down, -1 if it still leads after ten election timeouts.
func ticksUntilCutLeaderStepsDown(adjust func(*consensus.Core)) int {
	s := newSim(1, 3, faults{adjust: adjust})
	s.run(warmUpTicks, false)
	leader := s.leader()
	s.isolated[leader] = true
	for tick := range 10 * simElectionTicks {
		if leader.core.Status().Role != consensus.Leader {
			return tick
		}
		s.run(1, true)
	}
	return -1
}

// An isolated leader must step down, so that it does not accept proposals that it
// cannot commit. Without check quorum it would lead forever.
func TestLeaderWithoutQuorumStepsDownWithinTheElectionTimeout(t *testing.T) {
	assert.LessOrEqual(t, ticksUntilCutLeaderStepsDown(nil), simElectionTicks)
	assert.Equal(t, -1, ticksUntilCutLeaderStepsDown((*consensus.Core).DisableCheckQuorum))
}

// termsAfterCutHostReturns isolates a follower for twenty election timeouts,
// reconnects it, and returns by how much the term increased.
func termsAfterCutHostReturns(adjust func(*consensus.Core)) uint64 {
	s := newSim(1, 3, faults{adjust: adjust})
	s.run(warmUpTicks, false)
	before := s.highestTerm()
	follower := s.hosts[0]
	if follower == s.leader() {
		follower = s.hosts[1]
	}
	s.isolated[follower] = true
	s.run(20*simElectionTicks, true)
	delete(s.isolated, follower)
	s.run(10*simElectionTicks, true)
	return s.highestTerm() - before
}

// A follower that returns after a long isolation must not raise the term and so
// depose the leader. Without pre-vote it would.
func TestPreVoteKeepsAReturningHostFromDisturbing(t *testing.T) {
	assert.Zero(t, termsAfterCutHostReturns(nil))
	assert.NotZero(t, termsAfterCutHostReturns((*consensus.Core).DisablePreVote))
}

// highestTerm returns the highest term of any host.
func (s *sim) highestTerm() uint64 {
	highest := uint64(0)
	for _, h := range s.hosts {
		highest = max(highest, h.core.Status().Term)
	}
	return highest
}

// leader returns the leader of the highest term, nil if there is none.
func (s *sim) leader() *host {
	var best *host
	for _, h := range s.hosts {
		if h.core == nil || h.core.Status().Role != consensus.Leader {
			continue
		}
		if best == nil || h.core.Status().Term > best.core.Status().Term {
			best = h
		}
	}
	return best
}

// TestFailoverTicks limits the time from the crash of a leader to the next
// election: the election timeout, up to the same again for its random part, and
// the message delays.
func TestFailoverTicks(t *testing.T) {
	var ticks []int
	for seed := uint64(1); seed <= 200; seed++ {
		s := newSim(seed, 3+2*int(seed%2), faults{})
		s.run(warmUpTicks, false)
		s.leader().crash()
		waited := 0
		for s.leader() == nil {
			s.run(1, true)
			waited++
		}
		ticks = append(ticks, waited)
	}
	slices.Sort(ticks)
	t.Logf("failover in ticks: p50 %d, p99 %d, longest %d", ticks[100], ticks[198], ticks[199])
	assert.LessOrEqual(t, ticks[100], 2*simElectionTicks)
	assert.LessOrEqual(t, ticks[199], 4*simElectionTicks)
}
