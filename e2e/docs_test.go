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

// commandsInDocs returns the lines of the code blocks in docs/*.md that run
// mangohill.
func commandsInDocs(t *testing.T) []string {
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

// Every mangohill command in docs/*.md must succeed as written against a running
// cluster.
func TestCommandsInDocsRun(t *testing.T) {
	c := newCluster(t, 1, 1)
	folder := t.TempDir()
	examples, err := filepath.Abs("../examples")
	require.NoError(t, err)
	require.NoError(t, os.Symlink(examples, filepath.Join(folder, "examples")))
	commands := commandsInDocs(t)
	require.NotEmpty(t, commands)
	for _, line := range commands {
		cmd := exec.Command(filepath.Join(binaries, "mangohill"), strings.Fields(line)[1:]...)
		cmd.Dir = folder
		cmd.Env = append(os.Environ(), "MANGOHILL_ENTRY="+c.ip("entry", 0)+":8082")
		output, err := cmd.CombinedOutput()
		assert.NoError(t, err, "%s: %s", line, output)
	}
}
