package table

import (
	"strings"
	"unicode/utf8"

	"mangohill.example/mangohill/controlapi"
)

// Layout constants, in characters.
const (
	gap         = 2
	recordIdent = 2
	// minColumn is the least width of a column that was narrowed, maxWord the
	// width up to which a word is kept whole.
	minColumn = 6
	maxWord   = 24
	// minColumns is the number of columns below which rows become records.
	minColumns = 3
)

// leastWidths returns the widths below which columns would break words. Headers
// may break behind '_'.
func leastWidths(rows []controlapi.Row) []int {
	widths := make([]int, len(rows[0]))
	for i, name := range columnNames(rows[0]) {
		widths[i] = max(minColumn, longestWord(strings.ReplaceAll(name, "_", "_ ")))
	}
	for _, row := range rows {
		for i, cell := range cells(row) {
			widths[i] = max(widths[i], longestWord(cell))
		}
	}
	return widths
}

// longestWord returns the length of the longest word of text, up to maxWord.
func longestWord(text string) int {
	longest := 0
	for word := range strings.FieldsSeq(text) {
		longest = max(longest, utf8.RuneCountInString(word))
	}
	return min(longest, maxWord)
}

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

// total returns the length of a line with columns of these widths.
func total(widths []int) int {
	sum := gap * (len(widths) - 1)
	for _, w := range widths {
		sum += w
	}
	return sum
}

// fit narrows the widest columns until the line fits width, none below its
// least. It reports false if they cannot fit.
func fit(widths, least []int, width int) ([]int, bool) {
	if width <= 0 {
		return widths, true
	}
	for total(widths) > width {
		widest := -1
		for i, w := range widths {
			if w > least[i] && (widest < 0 || w > widths[widest]) {
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

// wrap breaks text into lines of at most width characters: at spaces, where there
// are none behind marks such as '_', else anywhere.
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

// isBreak reports whether a line may end behind r.
func isBreak(r rune) bool { return r == '_' || r == '-' || r == '/' || r == ':' }

// lineEnd returns where to break runes, which are longer than width.
func lineEnd(runes []rune, width int) int {
	for i := width; i > 0; i-- {
		if runes[i] == ' ' {
			return i
		}
	}
	for i := width; i > 0; i-- {
		if isBreak(runes[i-1]) {
			return i
		}
	}
	return width
}

func pad(text string, width int, right bool) string {
	space := strings.Repeat(" ", max(0, width-utf8.RuneCountInString(text)))
	if right {
		return space + text
	}
	return text + space
}
