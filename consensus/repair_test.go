package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/consensus"
)

// drain carries out all pending work of a core in memory and returns the
// messages that it would send.
func drain(core *consensus.Core) []consensus.Message {
	var sent []consensus.Message
	for core.HasReady() {
		ready := core.Ready()
		sent = append(sent, ready.Messages...)
		core.Advance(ready)
	}
	return sent
}

// snapshotsIn returns the indexes of the offered snapshots.
func snapshotsIn(messages []consensus.Message) []uint64 {
	var indexes []uint64
	for _, m := range messages {
		if m.Type == consensus.MessageSnapshot {
			indexes = append(indexes, m.Snapshot.Index)
		}
	}
	return indexes
}

// A follower installs a snapshot and its response is lost. Its next response
// must show the leader that the snapshot is installed, even though the leader
// has meanwhile compacted past it.
func TestInstalledSnapshotIsNoticedThoughItsAnswerWasLost(t *testing.T) {
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	core, err := consensus.New(consensus.Config{ID: 1}, consensus.Restored{
		HardState: consensus.HardState{Term: 3},
		Snapshot:  consensus.SnapshotMeta{Index: 10, Term: 3, Membership: members},
	})
	require.NoError(t, err)
	elect(core, 4)
	drain(core)
	lagging := consensus.Message{From: 3, To: 1, Type: consensus.MessageAppendResponse, Term: 4, Index: 10, Reject: true}
	require.NoError(t, core.Step(lagging))
	assert.Equal(t, []uint64{10}, snapshotsIn(drain(core)))

	require.NoError(t, core.Step(consensus.Message{From: 2, To: 1, Type: consensus.MessageAppendResponse, Term: 4, Index: 11}))
	drain(core)
	core.Compact(consensus.SnapshotMeta{Index: 11, Term: 4, Membership: members}, 11)
	lagging.Index, lagging.Hint = 11, 10
	require.NoError(t, core.Step(lagging))
	assert.Equal(t, []uint64{11}, snapshotsIn(drain(core)))
}

// A learner without a leader must ask for admission again even if its log holds
// its own admission, because that entry may never have been committed.
func TestLearnerAsksAgainWhateverItsLogSays(t *testing.T) {
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, Voter: true}, {ID: 9}}}
	core, err := consensus.New(consensus.Config{ID: 9}, consensus.Restored{
		HardState: consensus.HardState{Term: 1},
		Entries:   []consensus.Entry{{Index: 1, Term: 1, Type: consensus.EntryMembership, Data: members.Encode()}},
	})
	require.NoError(t, err)
	heartbeat := consensus.Message{From: 1, To: 9, Type: consensus.MessageAppend, Term: 1, Index: 1, LogTerm: 1}
	require.NoError(t, core.Step(heartbeat))
	assert.False(t, core.NeedsAdmission())
	for range 2 * consensus.DefaultElectionTicks {
		core.Tick()
	}
	assert.True(t, core.NeedsAdmission())
	assert.Equal(t, consensus.Follower, core.Status().Role, "a learner starts no election")
}

// With four voters of which three are needed, a voter that never responds must
// be removed; if all four are needed, or the number is not configured, it must
// stay.
func TestASurplusVoterThatIsSilentIsRemoved(t *testing.T) {
	voters := []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}, {ID: 4, Voter: true}}
	for needed, removed := range map[int]bool{0: false, 3: true, 4: false} {
		core, err := consensus.New(consensus.Config{ID: 1, Voters: needed, RemovalTicks: 60}, consensus.Restored{
			HardState: consensus.HardState{Term: 3},
			Snapshot:  consensus.SnapshotMeta{Index: 10, Term: 3, Membership: consensus.Membership{Members: voters}},
		})
		require.NoError(t, err)
		core.Campaign()
		for _, answer := range []consensus.MessageType{consensus.MessagePreVoteResponse, consensus.MessageVoteResponse} {
			core.Advance(core.Ready())
			for _, id := range []consensus.MemberID{2, 3} {
				require.NoError(t, core.Step(consensus.Message{From: id, To: 1, Type: answer, Term: 4}))
			}
		}
		drain(core)
		proposed := consensus.MemberID(0)
		for range 100 {
			for _, id := range []consensus.MemberID{2, 3} {
				require.NoError(t, core.Step(consensus.Message{From: id, To: 1, Type: consensus.MessageAppendResponse, Term: 4, Index: 11}))
			}
			core.Tick()
			drain(core)
			if id, ok := core.MaintainMembership(); ok {
				proposed = id
				break
			}
		}
		if removed {
			assert.Equal(t, consensus.MemberID(4), proposed, "needed %d", needed)
		} else {
			assert.Zero(t, proposed, "needed %d", needed)
		}
	}
}
