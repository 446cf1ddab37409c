package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recorder keeps each write.
type recorder struct {
	mu     sync.Mutex
	writes [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.writes)
}

// Guards against a system call for each line, which takes a good part of the processor time of a
// leader that makes thousands of decisions a second, and against blocks that lose, reorder or cut
// lines.
func TestLinesAreWrittenInBlocks(t *testing.T) {
	const lines = 2000
	var out recorder
	log, flush := NewStream(&out, "c1")
	for i := range lines {
		log.Info().Int("n", i).Msg("task placed")
	}
	flush()
	total := bytes.Join(out.writes, nil)
	for _, w := range out.writes {
		assert.LessOrEqual(t, len(w), blockBytes)
		assert.True(t, bytes.HasSuffix(w, []byte("\n")), "a block ends with a line")
	}
	written := strings.Split(strings.TrimSpace(string(total)), "\n")
	require.Len(t, written, lines)
	for i, line := range written {
		require.Contains(t, line, fmt.Sprintf(`"n":%d,`, i))
	}
	assert.Less(t, len(out.writes), lines/10)
}

// Guards against a line that waits for others that never come, and against one that no block
// holds.
func TestABlockDoesNotWaitForMoreLines(t *testing.T) {
	var out recorder
	log, flush := NewStream(&out, "c1")
	defer flush()
	log.Info().Msg("leading")
	require.Eventually(t, func() bool { return out.count() == 1 }, 10*time.Second, time.Millisecond)
	log.Info().Str("job", strings.Repeat("j", 2*blockBytes)).Msg("job ended")
	require.Eventually(t, func() bool { return out.count() == 2 }, 10*time.Second, time.Millisecond)
}
