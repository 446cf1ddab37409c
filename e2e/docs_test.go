package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// commandsInPages returns the lines of the pages' code blocks that run the
// command line.
func commandsInPages(t *testing.T) []string {
	pages, err := filepath.Glob("../docs/*.md")
	require.NoError(t, err)
	var commands []string
	for _, page := range pages {
		data, err := os.ReadFile(page)
		require.NoError(t, err)
		inBlock := false
		for line := range strings.Lines(string(data)) {
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "```") {
				inBlock = !inBlock
				continue
			}
			if inBlock && strings.HasPrefix(line, "mangohill ") {
				commands = append(commands, line)
			}
		}
	}
	return commands
}

// Every command line of the pages works as written, against a running cluster.
func TestCommandsOfThePagesRun(t *testing.T) {
	c := newCluster(t, 1, 1)
	folder := t.TempDir()
	examples, err := filepath.Abs("../examples")
	require.NoError(t, err)
	require.NoError(t, os.Symlink(examples, filepath.Join(folder, "examples")))
	commands := commandsInPages(t)
	require.NotEmpty(t, commands)
	for _, line := range commands {
		cmd := exec.Command(filepath.Join(binaries, "mangohill"), strings.Fields(line)[1:]...)
		cmd.Dir = folder
		cmd.Env = append(os.Environ(), "MANGOHILL_ENTRY="+c.host("entry", 0)+":8082")
		output, err := cmd.CombinedOutput()
		assert.NoError(t, err, "%s: %s", line, output)
	}
}
