package doccheck

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/internal/capacity"
	"mangohill.example/mangohill/internal/logging"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/settings"
)

func TestSettingsPageListsEveryKey(t *testing.T) {
	page := readDoc(t, "docs/SETTINGS.md")
	assert.Equal(t, sorted(settings.Keys()), firstCells(tableRows(section(t, page, "Settings of a process"))))
	assert.Equal(t, sorted(clusterconfig.Keys()), firstCells(tableRows(section(t, page, "Cluster configuration"))))
}

func TestMetricsPageListsEveryVariable(t *testing.T) {
	page := readDoc(t, "docs/METRICS.md")
	inCode := literals(t, "node", regexp.MustCompile(`(?:\bvars\.Set|\ball\.Set|\.counter)\("([^"]+)"`))
	assert.Equal(t, inCode, firstCells(tableRows(section(t, page, "Variables"))))
}

func TestEveryLogLineIsAListedEvent(t *testing.T) {
	page := readDoc(t, "docs/METRICS.md")
	listed := sorted(logging.Events())
	assert.Equal(t, listed, literals(t, ".", regexp.MustCompile(`\.Msg\("([^"]*)"\)`)))
	assert.Equal(t, listed, firstCells(tableRows(section(t, page, "Log events"))))
	assert.Empty(t, literals(t, ".", regexp.MustCompile(`\.(Msgf|MsgFunc)\(`)), "the name of an event must be a constant")
}

func TestMetricsPageListsEveryRecordedEvent(t *testing.T) {
	page := readDoc(t, "docs/METRICS.md")
	inCode := literals(t, "state", regexp.MustCompile(`EventName = "([^"]+)"`))
	assert.Equal(t, inCode, firstCells(tableRows(section(t, page, "Events of the cluster"))))
}

func TestCapacityPageGivesTheBytesOfTheCode(t *testing.T) {
	slopes, err := capacity.Messages()
	require.NoError(t, err)
	measured := make(map[string]string)
	for _, slope := range slopes {
		measured[slope.Name] = strings.TrimSuffix(fmt.Sprintf("%.1f", slope.Value), ".0") + " " + slope.Unit
	}
	documented := make(map[string]string)
	for _, row := range tableRows(section(t, readDoc(t, "docs/CAPACITY.md"), "Slopes")) {
		documented[row[0]] = row[1]
	}
	assert.Equal(t, measured, documented)
}

func TestEveryErrorKindIsDocumentedWithItsAnswer(t *testing.T) {
	rows := tableRows(section(t, readDoc(t, "docs/OPERATIONS.md"), "Error kinds"))
	documented := make(map[kind.Kind][]string)
	for _, row := range rows {
		documented[kind.Kind(row[0])] = row[1:5]
	}
	expected := make(map[kind.Kind][]string)
	for _, k := range kind.All() {
		answer := k.Answer()
		expected[k] = []string{fmt.Sprint(answer.Status), string(answer.Outcome), retryText(answer.Retry), fmt.Sprint(answer.Exit)}
	}
	assert.Equal(t, sorted(slices.Collect(maps.Keys(expected))), sorted(slices.Collect(maps.Keys(documented))))
	assert.Equal(t, expected, documented)
}

func retryText(retry kind.Retry) string {
	switch retry {
	case kind.RetryLater:
		return "later"
	case kind.RetrySameID:
		return "same ID"
	}
	return "never"
}

// TestErrorsAreWrittenAsProblemDocuments guards against plain-text errors in HTTP
// answers: only package kind may write errors. Package fake is exempt, since it
// simulates servers that are not part of the system.
func TestErrorsAreWrittenAsProblemDocuments(t *testing.T) {
	for _, file := range productFiles(t, ".") {
		folder := filepath.Base(filepath.Dir(file))
		if folder == "kind" || folder == "fake" {
			continue
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		plain := strings.Contains(string(text), "http.Error(") || strings.Contains(string(text), "http.NotFound(")
		assert.False(t, plain, "%s answers with plain text", file)
	}
}

func sorted[T ~string](list []T) []T {
	list = slices.Clone(list)
	slices.Sort(list)
	return list
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

func TestLinksLeadToFiles(t *testing.T) {
	for _, page := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(readDoc(t, page), -1) {
			target := filepath.Join(root, filepath.Dir(page), match[1])
			_, err := os.Stat(target)
			assert.NoError(t, err, page)
		}
	}
}

// pages returns the paths of the README and of the pages in docs.
func pages(t *testing.T) []string {
	t.Helper()
	list := []string{"README.md"}
	files, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	for _, file := range files {
		list = append(list, strings.TrimPrefix(file, root+"/"))
	}
	return list
}
