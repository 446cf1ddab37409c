package storage

import (
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a member that ends because its process had no descriptor left for a moment
// when a segment of the log was full.
func TestAnOpenWithoutADescriptorIsRepeated(t *testing.T) {
	attempts := 0
	opened, err := withDescriptor(func() (int, error) {
		if attempts++; attempts < 4 {
			return 0, &os.PathError{Op: "open", Path: "log", Err: unix.EMFILE}
		}
		return 7, nil
	})
	require.NoError(t, err)
	assert.Equal(t, 7, opened)
	attempts = 0
	_, err = withDescriptor(func() (int, error) { attempts++; return 0, unix.ENFILE })
	assert.ErrorIs(t, err, unix.ENFILE)
	assert.Equal(t, openAttempts, attempts)
}

// Any other error may have left something behind, and is final.
func TestAnOpenThatFailedOtherwiseIsNotRepeated(t *testing.T) {
	attempts := 0
	_, err := withDescriptor(func() (int, error) { attempts++; return 0, errors.New("no space left") })
	assert.Error(t, err)
	assert.Equal(t, 1, attempts)
}
