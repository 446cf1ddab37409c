//go:build mutants

// Package proofs shows that the proofs fail without their safeguards. It holds
// test files only.
//
// Each mutant of the YAML files removes one safeguard in a copy of the tree. The
// named test must fail there. Run them with:
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

// mutantTimeout bounds the run of one mutant: a safeguard whose removal hangs
// the test counts as found.
const mutantTimeout = 4 * time.Minute

// mutant removes one safeguard.
type mutant struct {
	Name    string `yaml:"name"`
	Promise string `yaml:"promise"`
	File    string `yaml:"file"`
	Old     string `yaml:"old"`
	New     string `yaml:"new"`
	Test    string `yaml:"test"` // arguments of go test
}

func TestProofsFailWithoutTheirSafeguards(t *testing.T) {
	files, err := filepath.Glob("*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(file, ".yaml"), func(t *testing.T) {
			t.Parallel()
			runFile(t, file)
		})
	}
}

func runFile(t *testing.T, file string) {
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

// copied lists the files that belong to the tree.
func copied(t *testing.T) []string {
	list := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard")
	list.Dir = ".."
	output, err := list.Output()
	require.NoError(t, err)
	return strings.Fields(string(output))
}

func copyTree(t *testing.T, folder string) {
	for _, name := range copied(t) {
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
	require.Equal(t, 1, strings.Count(string(source), m.Old), "%s must hold the safeguard once", m.File)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600))

	ctx, cancel := context.WithTimeout(context.Background(), mutantTimeout)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "vet", "./"+filepath.Dir(m.File))
	build.Dir = folder
	output, err := build.CombinedOutput()
	require.NoError(t, err, "the mutant does not build: %s", output)

	test := exec.CommandContext(ctx, "go", append([]string{"test", "-count=1"}, strings.Fields(m.Test)...)...)
	test.Dir = folder
	output, err = test.CombinedOutput()
	require.Error(t, err, "promise %q: the test passes without its safeguard:\n%s", m.Promise, output)
	t.Logf("%s: fails as it must: %s", m.Promise, firstFailure(string(output)))
}

// firstFailure returns the line of the first failed test.
func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "--- FAIL") || strings.Contains(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "ended without a verdict"
}
