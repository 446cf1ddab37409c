package table

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangohill.example/mangohill/controlapi"
)

func row(task, reason string, epoch int64) controlapi.Row {
	return controlapi.Row{{Name: "task", Value: task}, {Name: "epoch", Value: epoch}, {Name: "reason", Value: reason}}
}

func TestWideCellsWrapAndNumbersAlignRight(t *testing.T) {
	var out strings.Builder
	rows := []controlapi.Row{row("a", "no worker has 12 free processors", 7), row("route-8", "", 12)}
	require.NoError(t, Write(&out, rows, 34))
	assert.Equal(t, `task     epoch  reason
a            7  no worker has 12
                free processors
route-8     12
`, out.String())
}

func TestRowsTooWideForColumnsBecomeRecords(t *testing.T) {
	var out strings.Builder
	require.NoError(t, Write(&out, []controlapi.Row{row("route-7", "none", 7)}, 12))
	assert.Equal(t, "task:\n  route-7\nepoch: 7\nreason:\n  none\n", out.String())
}

func TestColumnsThatDoNotFitAreNamed(t *testing.T) {
	worker := controlapi.Row{
		{Name: "worker", Value: "w7"}, {Name: "state", Value: "ready"}, {Name: "processors_committed", Value: 12.5},
		{Name: "memory_committed_bytes", Value: int64(8 << 30)}, {Name: "reason", Value: "a host"},
	}
	var out strings.Builder
	require.NoError(t, Write(&out, []controlapi.Row{worker}, 36))
	assert.Equal(t, `worker  state  processors_committed
w7      ready                  12.5
columns left out:
memory_committed_bytes, reason (a
wider terminal or --json shows them)
`, out.String())
	out.Reset()
	require.NoError(t, Write(&out, []controlapi.Row{worker}, 48))
	assert.Equal(t, `worker  state  processors_       memory_  reason
                 committed    committed_
                                   bytes
w7      ready         12.5    8589934592  a host
`, out.String())
}

func TestEmptyColumnsAreLeftOutWhenSpaceIsShort(t *testing.T) {
	rows := []controlapi.Row{row("route-7", "", 7)}
	var wide, narrow strings.Builder
	require.NoError(t, Write(&wide, rows, 80))
	assert.Contains(t, wide.String(), "reason")
	require.NoError(t, Write(&narrow, rows, 16))
	assert.Equal(t, "task     epoch\nroute-7      7\n", narrow.String())
}

func TestTextWithLineBreaksIsKept(t *testing.T) {
	var out strings.Builder
	rows := []controlapi.Row{{{Name: "version", Value: int64(3)}, {Name: "text", Value: "weights:\n  evictions: 2\n"}}}
	require.NoError(t, Write(&out, rows, 80))
	assert.Equal(t, "version: 3\ntext:\n  weights:\n    evictions: 2\n", out.String())
}

func TestLineBreaksAreJoinedInATableOfSeveralRows(t *testing.T) {
	var out strings.Builder
	require.NoError(t, Write(&out, []controlapi.Row{row("a", "one\n  two", 1), row("b", "three", 2)}, 80))
	assert.Equal(t, "task  epoch  reason\na         1  one two\nb         2  three\n", out.String())
}

func TestControlCharactersNeverReachTheTerminal(t *testing.T) {
	var out strings.Builder
	require.NoError(t, Write(&out, []controlapi.Row{row("a\x1b[2J", "b\u202e", 1)}, 0))
	assert.NotContains(t, out.String(), "\x1b")
	assert.NotContains(t, out.String(), "\u202e")
}

func TestTablesFitTheWidthAndLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		width := rapid.IntRange(24, 120).Draw(t, "width")
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,9}`), 1, 30).Draw(t, "words")
		var out strings.Builder
		rows := []controlapi.Row{row(words[0], strings.Join(words, " "), 1)}
		require.NoError(t, Write(&out, rows, width))
		for line := range strings.Lines(out.String()) {
			assert.LessOrEqual(t, utf8.RuneCountInString(strings.TrimRight(line, "\n")), width)
		}
		letters := strings.Join(words, "")
		assert.GreaterOrEqual(t, strings.Count(out.String(), letters[:1]), strings.Count(letters, letters[:1]))
	})
}
