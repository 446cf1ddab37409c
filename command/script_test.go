package command

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const script = `# the night's work
drain worker w7; show tasks
declare batch a {
  processors 1
  memory 1GiB   # small
}

cancel b
`

func TestScriptsSplitAtLinesAndSemicolonsOutsideBraces(t *testing.T) {
	commands, err := ParseScript(script)
	require.NoError(t, err)
	var lines []int
	var texts []string
	for _, c := range commands {
		lines = append(lines, c.Line)
		texts = append(texts, c.Text)
	}
	assert.Equal(t, []int{2, 2, 3, 8}, lines)
	assert.Equal(t, "drain worker w7", texts[0])
	assert.Equal(t, "show tasks", texts[1])
	assert.Equal(t, "cancel b", texts[3])
	assert.Equal(t, Cancel{"b"}, commands[3].Statement)
}

func TestScriptErrorsCountFromTheBeginningOfTheScript(t *testing.T) {
	commands, err := ParseScript("show tasks\ndrain worker w7;  drain w8\n")
	assert.Len(t, commands, 2)
	var syntax *SyntaxError
	require.True(t, errors.As(err, &syntax))
	assert.Equal(t, 2, syntax.Line)
	assert.Equal(t, 25, syntax.Column)
}

func TestIncompleteSeesOpenBraces(t *testing.T) {
	assert.True(t, Incomplete("declare batch a {"))
	assert.False(t, Incomplete("declare batch a { }"))
	assert.False(t, Incomplete("show tasks"))
}

func TestCompleteOffersWhatTheGrammarAccepts(t *testing.T) {
	cases := map[string][]string{
		"":                                 verbs,
		"d":                                {"declare", "drain"},
		"show t":                           {"tasks", "targets"},
		"show tasks ":                      {"where", "since"},
		"show tasks where a = b s":         {"since"},
		"declare w":                        {"watcher"},
		"declare batch a":                  nil,
		"declare batch a { processors 1 m": {"memory"},
		"set c":                            {"config"},
		"set config from f ":               {"if"},
		"drain ":                           {"worker"},
		"bad ":                             nil,
	}
	for text, want := range cases {
		words, _ := Complete(text)
		assert.Equal(t, want, words, text)
	}
	_, typed := Complete("show ta")
	assert.Equal(t, 2, typed)
}
