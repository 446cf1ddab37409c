package table

import (
	"strings"
	"unicode/utf8"

	"mangohill.example/mangohill/controlapi"
)

// Widths of the layout, in characters.
const (
	columnGap    = 2
	recordIndent = 2
	// minColumnWidth is the width below which no column is narrowed; words of up to
	// maxUnbrokenWord characters are not broken.
	minColumnWidth  = 6
	maxUnbrokenWord = 24
	// minTableColumns is the number of fitting columns below which rows are written
	// as records.
	minTableColumns = 3
)

// minWidths returns the widths below which columns would break words. Headers
// may break after '_'.
func minWidths(rows []controlapi.Row) []int {
	widths := make([]int, len(rows[0]))
	for i, name := range columnNames(rows[0]) {
		widths[i] = max(minColumnWidth, longestWord(strings.ReplaceAll(name, "_", "_ ")))
	}
	for _, row := range rows {
		for i, cell := range cells(row) {
			widths[i] = max(widths[i], longestWord(cell))
		}
	}
	return widths
}

// longestWord returns the length of the longest word of text, at most maxUnbrokenWord.
func longestWord(text string) int {
	longest := 0
	for word := range strings.FieldsSeq(text) {
		longest = max(longest, utf8.RuneCountInString(word))
	}
	return min(longest, maxUnbrokenWord)
}

// naturalWidths returns the widths at which no cell wraps.
func naturalWidths(rows []controlapi.Row) []int {
	widths := make([]int, len(rows[0]))
	for i, field := range rows[0] {
		widths[i] = utf8.RuneCountInString(field.Name)
	}
	for _, row := range rows {
		for i, cell := range cells(row) {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

// lineWidth returns the width of a line with columns of the given widths.
func lineWidth(widths []int) int {
	sum := columnGap * (len(widths) - 1)
	for _, w := range widths {
		sum += w
	}
	return sum
}

// shrinkToFit narrows the widest columns until the line fits width, none below its
// minimum. It returns false if the line cannot fit.
func shrinkToFit(widths, minimum []int, width int) ([]int, bool) {
	if width <= 0 {
		return widths, true
	}
	for lineWidth(widths) > width {
		widest := -1
		for i, w := range widths {
			if w > minimum[i] && (widest < 0 || w > widths[widest]) {
				widest = i
			}
		}
		if widest < 0 {
			return nil, false
		}
		widths[widest]--
	}
	return widths, true
}

// wrap breaks text into lines of at most width characters: at a space, else after
// a mark such as '_', else anywhere.
func wrap(text string, width int) []string {
	var lines []string
	runes := []rune(text)
	for len(runes) > width {
		end := lineEnd(runes, width)
		lines = append(lines, string(runes[:end]))
		runes = runes[end:]
		for len(runes) > 0 && runes[0] == ' ' {
			runes = runes[1:]
		}
	}
	return append(lines, string(runes))
}

// isBreakAfter reports whether a line may end after r.
func isBreakAfter(r rune) bool { return r == '_' || r == '-' || r == '/' || r == ':' }

// lineEnd returns the index at which to break runes, which are longer than width.
func lineEnd(runes []rune, width int) int {
	for i := width; i > 0; i-- {
		if runes[i] == ' ' {
			return i
		}
	}
	for i := width; i > 0; i-- {
		if isBreakAfter(runes[i-1]) {
			return i
		}
	}
	return width
}

func pad(text string, width int, rightAligned bool) string {
	space := strings.Repeat(" ", max(0, width-utf8.RuneCountInString(text)))
	if rightAligned {
		return space + text
	}
	return text + space
}
