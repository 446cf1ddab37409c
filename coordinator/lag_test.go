package coordinator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// A window is logged once, and only if the leader was behind in it.
func TestALeaderThatIsBehindSaysSo(t *testing.T) {
	var out bytes.Buffer
	log, start := zerolog.New(&out), time.Unix(1000, 0)
	g := lag{startedAt: start, commit: behindAfter, yielded: 90 * time.Millisecond}
	g.recordQueues(3, 1, 5)
	g.recordQueues(1, 4, 2)
	g.report(start.Add(lagWindow/2), 7, log)
	assert.Empty(t, out.String(), "the window has not ended")
	g.report(start.Add(lagWindow), 7, log)
	assert.Equal(t, 1, strings.Count(out.String(), "leader behind"))
	for _, field := range []string{`"commit":200`, `"calls":3`, `"answers":4`, `"yielded":90`, `"term":7`} {
		assert.Contains(t, out.String(), field)
	}
	g.tick = behindAfter / 2
	g.report(start.Add(2*lagWindow), 7, log)
	assert.Equal(t, 1, strings.Count(out.String(), "leader behind"), "the leader was not behind in the second window")
}
