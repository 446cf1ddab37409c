package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/command"
)

// fencedBlock matches a fenced code block. Its groups are the language and the content.
var fencedBlock = regexp.MustCompile("(?ms)^```([a-z]*)\n(.*?)^```$")

// programOptions maps the options of mangohill to the number of values they take.
var programOptions = map[string]int{"--entry": 1, "--json": 0, "--timeout": 1, "--picture": 1}

// indentedLine matches a line of an indented code block.
var indentedLine = regexp.MustCompile(`(?m)^    (\S.*)$`)

// TestCommandsInThePagesParse parses every code block of the pages. Blocks of the
// language "mangohill" are scripts, those of "yaml" cluster configurations. In "sh" and
// indented blocks, lines that call mangohill must contain a valid command.
func TestCommandsInThePagesParse(t *testing.T) {
	read := 0
	for _, page := range pages(t) {
		text := readDoc(t, page)
		for _, line := range indentedLine.FindAllStringSubmatch(fencedBlock.ReplaceAllString(text, ""), -1) {
			read += checkShell(t, page, line[1])
		}
		for _, block := range fencedBlock.FindAllStringSubmatch(text, -1) {
			switch block[1] {
			case "mangohill":
				commands, err := command.ParseScript(block[2])
				assert.NoError(t, err, page)
				read += len(commands)
			case "yaml":
				_, err := clusterconfig.Parse(block[2])
				assert.NoError(t, err, page)
			case "sh":
				read += checkShell(t, page, block[2])
			default:
				assert.Failf(t, "unknown language of a code block", "%s: %q", page, block[1])
			}
		}
	}
	assert.NotZero(t, read)
}

func checkShell(t *testing.T, page, text string) int {
	t.Helper()
	read := 0
	for line := range strings.Lines(strings.ReplaceAll(text, "\\\n", " ")) {
		line, _, _ = strings.Cut(strings.TrimSpace(line), " #")
		line = strings.TrimSuffix(line, " &")
		words := strings.Fields(line)
		checkFolders(t, page, words)
		if rest, ok := programArguments(words); ok {
			checkCall(t, page, rest)
			read++
		}
	}
	return read
}

// checkFolders checks that the packages named in a line exist.
func checkFolders(t *testing.T, page string, words []string) {
	t.Helper()
	for _, word := range words {
		if !strings.HasPrefix(word, "./") || strings.Contains(word, "...") || strings.HasPrefix(word, "./bin") || strings.HasPrefix(word, "./data") {
			continue
		}
		_, err := os.Stat(filepath.Join(root, strings.TrimSuffix(word, "/")))
		assert.NoError(t, err, page)
	}
}

// programArguments returns the arguments of mangohill if the line calls it.
func programArguments(words []string) ([]string, bool) {
	for i, word := range words {
		base := filepath.Base(word)
		if base == "mangohill" && (i == 0 || words[0] == "go" && words[1] == "run") {
			return words[i+1:], true
		}
	}
	return nil, false
}

func checkCall(t *testing.T, page string, words []string) {
	t.Helper()
	for len(words) > 0 && strings.HasPrefix(words[0], "--") {
		values, known := programOptions[words[0]]
		require.True(t, known, "%s: option %s", page, words[0])
		words = words[1+values:]
	}
	if len(words) == 0 {
		return
	}
	switch words[0] {
	case "try":
	case "run", "check":
		assert.Len(t, words, 2, page)
		_, err := os.Stat(filepath.Join(root, words[1]))
		assert.NoError(t, err, page)
	default:
		text := strings.Trim(strings.Join(words, " "), "'")
		_, err := command.Parse(text)
		assert.NoError(t, err, "%s: %s", page, text)
	}
}
