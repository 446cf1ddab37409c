package e2e

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The README's commands that start the example as separate processes must work in
// the given order. The test replaces the addresses by its own. Commands that end
// in "&" keep running; every other command must exit with 0.
func TestReadmeStartsTheExample(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	require.NoError(t, err)
	addressPrefix := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, subnet.Add(1))
	folder := exampleFolder(t, addressPrefix)
	lines := readmeLines(string(page), "Start it as separate processes")
	require.NotEmpty(t, lines)
	for _, line := range lines {
		line = strings.ReplaceAll(line, "127.0.0.", addressPrefix)
		if strings.HasPrefix(line, "go build ") {
			continue // TestMain has built the programs.
		}
		runLine(t, folder, addressPrefix, line)
	}
}

// readmeLines returns the indented code lines of a section.
func readmeLines(page, heading string) []string {
	_, section, _ := strings.Cut(page, "\n## "+heading+"\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var lines []string
	for line := range strings.Lines(section) {
		if command, found := strings.CutPrefix(line, "    "); found {
			lines = append(lines, strings.TrimSpace(command))
		}
	}
	return lines
}

// exampleFolder returns a folder with the programs under bin and a copy of the
// examples, in which addressPrefix replaces "127.0.0.".
func exampleFolder(t *testing.T, addressPrefix string) string {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, os.Symlink(binaries, filepath.Join(folder, "bin")))
	examples := filepath.Join(folder, "examples")
	require.NoError(t, os.CopyFS(examples, os.DirFS("../examples")))
	err := filepath.WalkDir(examples, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, []byte(strings.ReplaceAll(string(text), "127.0.0.", addressPrefix)), 0o600)
	})
	require.NoError(t, err)
	return folder
}

func runLine(t *testing.T, folder, addressPrefix, line string) {
	t.Helper()
	text, background := strings.CutSuffix(line, "&")
	words := strings.Fields(text)
	cmd := exec.Command(filepath.Join(folder, words[0]), words[1:]...)
	cmd.Dir = folder
	cmd.Env = append(os.Environ(), "MANGOHILL_ENTRY="+addressPrefix+"11:8082")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if !background {
		output, err := cmd.CombinedOutput()
		assert.NoError(t, err, "%s\n%s", line, output)
		return
	}
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("line-%d.log", subnet.Add(1))))
	require.NoError(t, err)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(t, cmd.Start(), line)
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // It may have exited already.
		_ = cmd.Wait()         // It was killed, so an error is expected.
		text, _ := os.ReadFile(log.Name())
		_ = log.Close() // The log has been read already.
		if t.Failed() {
			t.Logf("--- %s\n%s", line, tail(string(text)))
		}
	})
}
