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
