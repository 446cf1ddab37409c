package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a failed seed whose logs are removed with the test's folder: they must be
// in the system's temporary folder, also if one of them is missing.
func TestTheLogsOfAFailedSeedAreKept(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	folder := t.TempDir()
	first, lost := &process{ip: "127.9.0.1", folder: filepath.Join(folder, "0")}, &process{ip: "127.9.0.2", folder: filepath.Join(folder, "1")}
	require.NoError(t, os.WriteFile(first.folder+".log", []byte("line"), 0o600))
	kept, err := saveLogs("", 17, []*process{lost, first})
	require.ErrorIs(t, err, os.ErrNotExist)
	assert.Equal(t, os.TempDir(), filepath.Dir(kept))
	assert.Contains(t, kept, "-17-")
	data, err := os.ReadFile(filepath.Join(kept, "127.9.0.1.log"))
	require.NoError(t, err)
	assert.Equal(t, "line", string(data))
}
