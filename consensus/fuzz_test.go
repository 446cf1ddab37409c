package consensus_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/consensus"
)

// FuzzStep checks that no message from a peer makes the core panic.
func FuzzStep(f *testing.F) {
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}}
	first := consensus.Entry{Index: 1, Term: 1, Type: consensus.EntryMembership, Data: members.Encode()}
	for _, m := range []consensus.Message{
		{Type: consensus.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Commit: 3, Entries: []consensus.Entry{{Term: 2, Data: []byte("x")}}},
		{Type: consensus.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []consensus.Entry{first}},
		{Type: consensus.MessageSnapshot, Term: 3, Snapshot: &consensus.SnapshotMeta{Index: 9, Term: 2, Membership: members}},
		{Type: consensus.MessageVote, Term: 4, Index: 9, LogTerm: 3, Transfer: true},
		{Type: consensus.MessageAppendResponse, Term: 2, Index: 1, Reject: true},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		var m consensus.Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		m.From, m.To = 2, 1
		core, err := consensus.New(consensus.Config{ID: 1}, consensus.Restored{
			HardState: consensus.HardState{Term: 1}, Entries: []consensus.Entry{first},
		})
		if err != nil {
			t.Fatal(err)
		}
		if leads {
			elect(core, 2)
		}
		if core.Step(m) != nil {
			return
		}
		for range 3 * consensus.DefaultElectionTicks {
			core.Tick()
			for core.HasReady() {
				core.Advance(core.Ready())
			}
		}
	})
}

// elect makes member 1 the leader in term, using the vote of member 2.
func elect(core *consensus.Core, term uint64) {
	core.Campaign()
	for _, answer := range []consensus.MessageType{consensus.MessagePreVoteResponse, consensus.MessageVoteResponse} {
		core.Advance(core.Ready())
		if err := core.Step(consensus.Message{From: 2, To: 1, Type: answer, Term: term}); err != nil {
			panic(err)
		}
	}
}
