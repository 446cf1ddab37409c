package state

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

func workerIn(domain, name string, incarnation uint64) Register {
	op := registerOp(name, incarnation)
	op.FailureDomain = domain
	return op
}

func batch(name string) Declare {
	return Declare{Spec: types.JobSpec{Name: name, Kind: types.KindBatch, Request: types.Resources{MilliProcessors: 1000}}}
}

// Guards against starts on workers of an evacuated domain: planned before the order, on a
// worker that joins later, restarts, or moves there.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	s := New()
	applyOps(t, s, 7, workerIn("a", "w1", 1), workerIn("b", "w2", 1), batch("x"), batch("y"), Start{Task: 1, Worker: 1, Epoch: 1})
	require.NoError(t, applyOps(t, s, 8, Evacuate{Domain: "a"})[0].Failure())
	assert.Equal(t, []Evacuation{{Domain: "a", SinceMs: 8}}, s.Evacuations())
	starting, _ := s.Task(1)
	assert.Equal(t, types.TaskEvicted, starting.Stopping, "an attempt that has not begun is stopped")

	results := applyOps(t, s, 9, Start{Task: 2, Worker: 1, Epoch: 1},
		workerIn("a", "w1", 2), Start{Task: 2, Worker: 1, Epoch: 1},
		workerIn("a", "w3", 1), Start{Task: 2, Worker: 3, Epoch: 1},
		workerIn("a", "w2", 2), Start{Task: 2, Worker: 2, Epoch: 1})
	for _, i := range []int{0, 2, 4, 6} {
		assert.True(t, kind.Is(results[i].Err, kind.InvalidTransition), "%v", results[i].Err)
	}
	results = applyOps(t, s, 10, workerIn("b", "w2", 3), Start{Task: 2, Worker: 2, Epoch: 1}, Evacuate{Domain: "a", Undo: true}, Start{Task: 1, Worker: 1, Epoch: 2})
	assert.NoError(t, results[1].Failure())
	assert.NoError(t, results[3].Failure())
	assert.Empty(t, s.Evacuations())
}

// A repeated order has no second effect: neither the time nor the version changes.
func TestRepeatedEvacuationsHaveNoEffect(t *testing.T) {
	s := New()
	applyOps(t, s, 1, workerIn("a", "w1", 1), Evacuate{Domain: "a"})
	version, _ := s.Config()
	applyOps(t, s, 2, Evacuate{Domain: "a"}, Evacuate{Domain: "a"})
	again, _ := s.Config()
	assert.Equal(t, version, again)
	assert.Equal(t, []Evacuation{{Domain: "a", SinceMs: 1}}, s.Evacuations())
	command := Command{ID: "1", Digest: 1, Text: "evacuate domain a", Op: Evacuate{Domain: "a"}}
	applyOps(t, s, 3, Evacuate{Domain: "a", Undo: true}, command, Evacuate{Domain: "a", Undo: true}, command)
	assert.Empty(t, s.Evacuations(), "a resent command does not run again")
	_, _, evacuated := s.ConfigAndEvacuations()
	assert.Empty(t, evacuated)
}

func TestUnknownDomainsAndTooManyAreRefused(t *testing.T) {
	s := New()
	results := applyOps(t, s, 1, registerOp("w0", 1), Evacuate{Domain: ""}, Evacuate{Domain: "nowhere"}, Evacuate{Domain: "nowhere", Undo: true})
	for _, r := range results[1:] {
		assert.True(t, kind.Is(r.Err, kind.NotFound), "%v", r.Err)
	}
	for i := range maxEvacuations + 1 {
		domain := fmt.Sprint("d", i)
		results = applyOps(t, s, 2, workerIn(domain, "w"+domain, 1), Evacuate{Domain: domain})
	}
	assert.True(t, kind.Is(results[1].Err, kind.Overloaded))
	assert.Len(t, s.Evacuations(), maxEvacuations)
}

// Guards against an evacuation that is lost by a snapshot, and against a snapshot that an
// earlier program would read without it.
func TestSnapshotsKeepEvacuations(t *testing.T) {
	s := New()
	applyOps(t, s, 1, workerIn("a", "w1", 1), workerIn("b", "w2", 1), batch("x"))
	plain, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, snapshotVersionPlain, versionOf(t, plain))
	applyOps(t, s, 5, Evacuate{Domain: "b"}, Evacuate{Domain: "a"})
	data, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, SnapshotVersion, versionOf(t, data))

	restored := New()
	require.NoError(t, restored.Restore(data))
	assert.Equal(t, s.Evacuations(), restored.Evacuations())
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
	assert.True(t, kind.Is(applyOps(t, restored, 6, Start{Task: 1, Worker: 2, Epoch: 1})[0].Err, kind.InvalidTransition))
	require.NoError(t, restored.Restore(plain))
	assert.Empty(t, restored.Evacuations())
	assert.NoError(t, applyOps(t, restored, 6, Start{Task: 1, Worker: 2, Epoch: 1})[0].Failure())
}

func versionOf(t *testing.T, snapshot []byte) int {
	t.Helper()
	require.Equal(t, snapshotFormat, string(snapshot[2:2+len(snapshotFormat)]))
	return int(snapshot[2+len(snapshotFormat)])
}

// testdata/snapshot-v1.cbor was written by the program at 637f472, before evacuations, after
// the operations of that program's allOps.
func TestSnapshotOfTheEarlierProgramDecodes(t *testing.T) {
	data, err := os.ReadFile("testdata/snapshot-v1.cbor")
	require.NoError(t, err)
	s := New()
	require.NoError(t, s.Restore(data))
	w, ok := s.WorkerNamed("w1")
	require.True(t, ok)
	assert.Equal(t, "pt-norte", w.FailureDomain)
	again, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again, "an older program reads the snapshot of a state without evacuations")
}
