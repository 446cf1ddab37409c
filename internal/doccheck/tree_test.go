package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the path of the repository's root folder.
const root = "../.."

// readDoc returns the text of a page, given by its path from the root.
func readDoc(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	require.NoError(t, err)
	return string(text)
}

// section returns the text under a second-level heading, up to the next heading of
// the same level.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(text, "\n## "+heading+"\n")
	require.True(t, found, "heading %q", heading)
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}

// codeCell matches a table cell that holds only inline code.
var codeCell = regexp.MustCompile("^`([^`]+)`$")

// tableRows returns the cells of the table rows whose first cell is inline code. It
// removes the backquotes of the first cell.
func tableRows(text string) [][]string {
	var rows [][]string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		code := codeCell.FindStringSubmatch(cells[0])
		if code == nil {
			continue
		}
		cells[0] = code[1]
		rows = append(rows, cells)
	}
	return rows
}

// firstCells returns the first cell of each row, sorted.
func firstCells(rows [][]string) []string {
	var cells []string
	for _, row := range rows {
		cells = append(cells, row[0])
	}
	slices.Sort(cells)
	return cells
}

// productFiles returns the paths of the Go files below folder except tests.
func productFiles(t *testing.T, folder string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isTest := strings.HasSuffix(path, "_test.go")
		if strings.HasSuffix(path, ".go") && !isTest {
			files = append(files, path)
		}
		return nil
	})
	require.NoError(t, err)
	return files
}

// literals returns the sorted, distinct texts of the first group of pattern in the Go
// files below folder except tests.
func literals(t *testing.T, folder string, pattern *regexp.Regexp) []string {
	t.Helper()
	var found []string
	for _, file := range productFiles(t, folder) {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
			found = append(found, match[1])
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}
