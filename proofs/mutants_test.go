//go:build mutants

// Package proofs runs mutation tests: it verifies that the tests detect the removal
// of the safeguards that they cover. It contains only test files.
//
// Each mutant in the YAML files removes one safeguard in a copy of the source tree.
// The test that it names must fail there. Run the mutants with:
//
//	go test -tags mutants -timeout 90m -v ./proofs
package proofs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// mutantTimeout limits the build and the test of one mutant. A test that hangs
// without its safeguard counts as failed, so the removal counts as detected.
const mutantTimeout = 4 * time.Minute

// mutant is one entry of a YAML file: it replaces the text Old, which File must
// contain exactly once, by New. Promise is the guarantee that Test covers.
type mutant struct {
	Name    string `yaml:"name"`
	Promise string `yaml:"promise"`
	File    string `yaml:"file"`
	Old     string `yaml:"old"`
	New     string `yaml:"new"`
	Test    string `yaml:"test"` // arguments for go test
}

func TestProofsFailWithoutTheirSafeguards(t *testing.T) {
	files, err := filepath.Glob("*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(file, ".yaml"), func(t *testing.T) {
			t.Parallel()
			runMutants(t, file)
		})
	}
}

func runMutants(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var mutants []mutant
	require.NoError(t, yaml.UnmarshalWithOptions(data, &mutants, yaml.Strict()))
	for _, m := range mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			m.run(t)
		})
	}
}

// sourceFiles lists the tracked files and the untracked files that are not ignored.
func sourceFiles(t *testing.T) []string {
	list := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard")
	list.Dir = ".."
	output, err := list.Output()
	require.NoError(t, err)
	return strings.Fields(string(output))
}

func copyTree(t *testing.T, folder string) {
	for _, name := range sourceFiles(t) {
		data, err := os.ReadFile(filepath.Join("..", name))
		require.NoError(t, err)
		path := filepath.Join(folder, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, data, 0o755))
	}
}

func (m mutant) run(t *testing.T) {
	folder := t.TempDir()
	copyTree(t, folder)
	path := filepath.Join(folder, m.File)
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(source), m.Old), "%s must contain the text of the safeguard exactly once", m.File)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600))

	ctx, cancel := context.WithTimeout(context.Background(), mutantTimeout)
	defer cancel()
	vet := exec.CommandContext(ctx, "go", "vet", "./"+filepath.Dir(m.File))
	vet.Dir = folder
	output, err := vet.CombinedOutput()
	require.NoError(t, err, "the mutant does not compile: %s", output)

	test := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1", "-skip", knownRed(t)}, strings.Fields(m.Test)...)...)
	test.Dir = folder
	output, err = test.CombinedOutput()
	require.Error(t, err, "promise %q: the test passes without the safeguard:\n%s", m.Promise, output)
	t.Logf("%s: fails as expected: %s", m.Promise, firstFailure(string(output)))
}

// knownRed returns a pattern of the tests that KNOWN-RED.txt lists, which fail without a
// mutant, too.
func knownRed(t *testing.T) string {
	data, err := os.ReadFile("../KNOWN-RED.txt")
	require.NoError(t, err)
	names := []string{"^$"}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 0 && !strings.HasPrefix(line, "#") {
			names = append(names, "^"+fields[0]+"$")
		}
	}
	return strings.Join(names, "|")
}

// firstFailure returns the first line of output that reports a failed test or a
// panic.
func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "--- FAIL") || strings.Contains(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no test failure or panic in the output"
}
