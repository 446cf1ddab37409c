package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/consensus"
)

// newVoter returns member 1 of three voters in term 1, which has heard from no leader within the
// election timeout.
func newVoter(t *testing.T) *consensus.Core {
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	core, err := consensus.New(consensus.Config{ID: 1}, consensus.Restored{
		HardState: consensus.HardState{Term: 1},
		Entries:   []consensus.Entry{{Index: 1, Term: 1, Type: consensus.EntryMembership, Data: members.Encode()}},
	})
	require.NoError(t, err)
	core.ForgetLeaderContact()
	return core
}

// Guards against terms that end one after the other without a leader: a candidate whose votes take
// longer than it waits asks for pre-votes again, and ignores the votes that arrive then.
func TestVotesCountAfterTheCandidateAskedForPreVotesAgain(t *testing.T) {
	core := newVoter(t)
	core.Campaign()
	core.Advance(core.Ready())
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessagePreVoteResponse, Term: 2}))
	require.Equal(t, consensus.Candidate, core.Status().Role)
	core.Advance(core.Ready())
	for range 4 * consensus.DefaultElectionTicks {
		core.Tick() // It asks for pre-votes several times.
	}
	require.Equal(t, consensus.PreCandidate, core.Status().Role)
	core.Advance(core.Ready())
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessageVoteResponse, Term: 2}))
	assert.Equal(t, consensus.Leader, core.Status().Role)
	assert.EqualValues(t, 2, core.Status().Term)
}

// Guards against votes that count in a later term, or once another member leads.
func TestVotesDoNotCountInAnotherElection(t *testing.T) {
	for name, end := range map[string]consensus.Message{
		"leader":     {From: 3, To: 1, Type: consensus.MessageAppend, Term: 2, Index: 1, LogTerm: 1},
		"later vote": {From: 3, To: 1, Type: consensus.MessageVote, Term: 3, Index: 1, LogTerm: 1},
		"later term": {From: 3, To: 1, Type: consensus.MessagePreVoteResponse, Term: 3, Reject: true},
	} {
		t.Run(name, func(t *testing.T) {
			core := newVoter(t)
			core.Campaign()
			core.Advance(core.Ready())
			require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessagePreVoteResponse, Term: 2}))
			core.Advance(core.Ready())
			require.NoError(t, core.Step(end))
			core.Campaign() // It asks for pre-votes.
			core.Advance(core.Ready())
			for term := uint64(2); term <= core.Status().Term; term++ {
				require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessageVoteResponse, Term: term}))
			}
			assert.Equal(t, consensus.PreCandidate, core.Status().Role)
		})
	}
}

// grants reports whether core grants the pre-vote that m asks for.
func grants(t *testing.T, core *consensus.Core, m consensus.Message) bool {
	core.Advance(core.Ready())
	require.NoError(t, core.Step(m))
	ready := core.Ready()
	core.Advance(ready)
	return len(ready.Messages) == 1 && ready.Messages[0].Type == consensus.MessagePreVoteResponse && !ready.Messages[0].Reject
}

// Guards against a candidate that wins and is deposed at once: those that have just voted for it help
// another member to begin the next term.
func TestAMemberThatHasVotedGrantsNoPreVoteToAnotherMember(t *testing.T) {
	preVote := func(from consensus.MemberID) consensus.Message {
		return consensus.Message{From: from, To: 1, Type: consensus.MessagePreVote, Term: 3, Index: 1, LogTerm: 1}
	}
	core := newVoter(t)
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessageVote, Term: 2, Index: 1, LogTerm: 1}))
	core.Advance(core.Ready())
	assert.False(t, grants(t, core, preVote(3)))
	assert.True(t, grants(t, core, preVote(2)), "the candidate itself has given up waiting")
	for range consensus.DefaultElectionTicks - 1 {
		core.Tick()
	}
	assert.False(t, grants(t, core, preVote(3)))
	core.Tick()
	assert.True(t, grants(t, core, preVote(3)), "the candidate has not won within an election timeout")
}

// Guards against a candidate that helps another member to begin the next term before its votes can
// arrive, and against two candidates that wait for each other for good.
func TestACandidateGrantsNoPreVoteWithinAnElectionTimeout(t *testing.T) {
	core := newVoter(t)
	core.Campaign()
	core.Advance(core.Ready())
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessagePreVoteResponse, Term: 2}))
	core.Advance(core.Ready())
	preVote := consensus.Message{From: 3, To: 1, Type: consensus.MessagePreVote, Term: 3, Index: 1, LogTerm: 1}
	assert.False(t, grants(t, core, preVote))
	for range consensus.DefaultElectionTicks - 1 {
		core.Tick()
	}
	require.Equal(t, consensus.PreCandidate, core.Status().Role, "it asks for pre-votes meanwhile")
	assert.False(t, grants(t, core, preVote))
	core.Tick()
	assert.True(t, grants(t, core, preVote))
}

// Guards against candidates that void each other's terms for good: each asks again before the others
// have recorded their votes, however long that takes.
func TestACandidateWaitsLongerEachTime(t *testing.T) {
	core := newVoter(t)
	core.Campaign()
	for try := range uint64(6) {
		core.Advance(core.Ready())
		require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessagePreVoteResponse, Term: 2 + try}))
		require.Equal(t, consensus.Candidate, core.Status().Role)
		waited := 0
		for core.Status().Role == consensus.Candidate {
			core.Advance(core.Ready())
			core.Tick()
			waited++
		}
		assert.GreaterOrEqual(t, waited, consensus.DefaultElectionTicks<<min(try, 3)/4, "try %d", try)
		assert.Less(t, waited, 3*consensus.DefaultElectionTicks<<min(try, 3)/4, "try %d", try)
	}
}

// Guards against a group that waits for an election timeout longer because a former leader refuses its
// pre-vote on account of the votes of an election that is long over.
func TestAFormerLeaderGrantsItsPreVoteAtOnce(t *testing.T) {
	core := newVoter(t)
	core.Campaign()
	core.Advance(core.Ready())
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessagePreVoteResponse, Term: 2}))
	core.Advance(core.Ready())
	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessageVoteResponse, Term: 2}))
	require.Equal(t, consensus.Leader, core.Status().Role)
	for range 100 * consensus.DefaultElectionTicks {
		core.Advance(core.Ready())
		if core.Tick(); core.Status().Role != consensus.Leader {
			break
		}
	}
	require.Equal(t, consensus.Follower, core.Status().Role, "no quorum answers")
	last := core.Status().LastIndex
	assert.True(t, grants(t, core, consensus.Message{From: 3, To: 1, Type: consensus.MessagePreVote, Term: 3, Index: last, LogTerm: 2}))
}
