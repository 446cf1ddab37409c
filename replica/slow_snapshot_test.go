package replica

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/storage"
)

// slowSnapshotDisk holds the creation of snapshot files while held is set.
type slowSnapshotDisk struct {
	storage.OSFileSystem
	held    *atomic.Bool
	started chan struct{}
	release chan struct{}
}

func (d slowSnapshotDisk) Create(path string) (storage.File, error) {
	if strings.Contains(path, "snapshot") && d.held.CompareAndSwap(true, false) {
		close(d.started)
		<-d.release
	}
	return d.OSFileSystem.Create(path)
}

// Guards against callers that wait for the disk behind a snapshot: their commands are committed,
// but not applied until the snapshot is written.
func TestCommandsAreAnsweredWhileASnapshotIsWritten(t *testing.T) {
	disk := slowSnapshotDisk{held: new(atomic.Bool), started: make(chan struct{}), release: make(chan struct{})}
	options := Options{
		Name: "control-1", Address: "127.0.0.1:1", DataDir: t.TempDir(), Bootstrap: true, Logger: quietLogger(t),
		Tick: 10 * time.Millisecond, SnapshotEntries: 20, StateMachine: &commandRecorder{}, FileSystem: disk,
	}
	r, err := Start(options)
	require.NoError(t, err)
	defer r.Stop()
	require.Eventually(t, func() bool { return r.Status().Role == "leader" }, eventTimeout, time.Millisecond)
	disk.held.Store(true)
	defer close(disk.release)
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	answered := make(chan error, 1)
	go func() {
		for i := 0; ; i++ {
			if _, err := r.Propose(ctx, fmt.Appendf(nil, "command %d", i)); err != nil {
				answered <- err
				return
			}
			select {
			case <-disk.started:
				_, err := r.Propose(ctx, []byte("urgent"))
				answered <- err
				return
			default:
			}
		}
	}()
	select {
	case <-disk.started:
	case <-ctx.Done():
		t.Fatal("no snapshot was begun")
	}
	select {
	case err := <-answered:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the command is not answered")
	}
}
