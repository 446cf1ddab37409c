package table

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"mangohill.example/mangohill/controlapi"
)

// Write renders rows to w. No line is longer than width characters where that
// can be had; a width of zero means no limit. Where space is short, columns
// that are empty in all rows are left out, cells that are too wide for their
// column are wrapped, never cut, and the last columns that cannot stand beside
// the others are left out and named below the table. Rows of which not even the
// first columns fit are written as records, one field a line.
func Write(w io.Writer, rows []controlapi.Row, width int) error {
	var out strings.Builder
	for _, group := range groups(rows) {
		if out.Len() > 0 {
			out.WriteByte('\n')
		}
		render(&out, group, width)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// WriteJSON renders v as one line of JSON.
func WriteJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// groups splits rows into runs with the same columns.
func groups(rows []controlapi.Row) [][]controlapi.Row {
	var list [][]controlapi.Row
	begin := 0
	for i := 1; i <= len(rows); i++ {
		if i < len(rows) && sameColumns(rows[begin], rows[i]) {
			continue
		}
		list = append(list, rows[begin:i])
		begin = i
	}
	return list
}

func sameColumns(a, b controlapi.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name {
			return false
		}
	}
	return true
}

func render(out *strings.Builder, rows []controlapi.Row, width int) {
	if len(rows[0]) == 0 {
		return
	}
	if width > 0 && total(naturalWidths(rows)) > width {
		rows = withoutEmptyColumns(rows)
	}
	shown, widths := fitting(rows, width)
	if widths == nil || len(rows) == 1 && hasLineBreak(rows[0]) {
		renderRecords(out, rows, width)
		return
	}
	renderTable(out, shown, widths)
	if left := columnNames(rows[0])[len(widths):]; len(left) > 0 {
		note := "columns left out: " + strings.Join(left, ", ") + " (a wider terminal or --json shows them)"
		out.WriteString(strings.Join(wrap(note, width), "\n") + "\n")
	}
}

// fitting returns the rows with as many of their first columns as fit, and the
// widths of these. The widths are nil if too few fit.
func fitting(rows []controlapi.Row, width int) ([]controlapi.Row, []int) {
	for count := len(rows[0]); count >= min(minColumns, len(rows[0])); count-- {
		shown := firstColumns(rows, count)
		if widths, ok := fit(naturalWidths(shown), leastWidths(shown), width); ok {
			return shown, widths
		}
	}
	return nil, nil
}

func firstColumns(rows []controlapi.Row, count int) []controlapi.Row {
	short := make([]controlapi.Row, 0, len(rows))
	for _, row := range rows {
		short = append(short, row[:count])
	}
	return short
}

func renderTable(out *strings.Builder, rows []controlapi.Row, widths []int) {
	right := numericColumns(rows)
	renderLine(out, columnNames(rows[0]), widths, right)
	for _, row := range rows {
		renderLine(out, cells(row), widths, right)
	}
}

func columnNames(row controlapi.Row) []string {
	names := make([]string, 0, len(row))
	for _, field := range row {
		names = append(names, field.Name)
	}
	return names
}

// withoutEmptyColumns leaves out the columns that are empty in every row, but
// never all of them.
func withoutEmptyColumns(rows []controlapi.Row) []controlapi.Row {
	var keep []int
	for i := range rows[0] {
		if slices.ContainsFunc(rows, func(row controlapi.Row) bool { return format(row[i].Value) != "" }) {
			keep = append(keep, i)
		}
	}
	if len(keep) == 0 {
		return rows
	}
	short := make([]controlapi.Row, 0, len(rows))
	for _, row := range rows {
		var fields controlapi.Row
		for _, i := range keep {
			fields = append(fields, row[i])
		}
		short = append(short, fields)
	}
	return short
}

func numericColumns(rows []controlapi.Row) []bool {
	right := make([]bool, len(rows[0]))
	for i := range right {
		right[i] = true
		for _, row := range rows {
			if _, text := row[i].Value.(string); text || row[i].Value == nil {
				right[i] = false
			}
		}
	}
	return right
}

// renderLine writes one row, on several lines if cells wrap.
func renderLine(out *strings.Builder, cells []string, widths []int, right []bool) {
	wrapped := make([][]string, len(cells))
	height := 1
	for i, cell := range cells {
		wrapped[i] = wrap(cell, widths[i])
		height = max(height, len(wrapped[i]))
	}
	for line := range height {
		var text strings.Builder
		for i := range cells {
			part := ""
			if line < len(wrapped[i]) {
				part = wrapped[i][line]
			}
			if i > 0 {
				text.WriteString(strings.Repeat(" ", gap))
			}
			text.WriteString(pad(part, widths[i], right[i]))
		}
		out.WriteString(strings.TrimRight(text.String(), " "))
		out.WriteByte('\n')
	}
}

// hasLineBreak reports whether a value of the row has several lines, such as the
// text of a configuration. In a table of several rows they are joined.
func hasLineBreak(row controlapi.Row) bool {
	return slices.ContainsFunc(row, func(field controlapi.Field) bool {
		text, ok := field.Value.(string)
		return ok && strings.Contains(strings.TrimSpace(text), "\n")
	})
}

// renderRecords writes each row as lines "name: value". The lines of a value
// with line breaks follow its name.
func renderRecords(out *strings.Builder, rows []controlapi.Row, width int) {
	for i, row := range rows {
		if i > 0 {
			out.WriteByte('\n')
		}
		for _, field := range row {
			renderField(out, field, width)
		}
	}
}

func renderField(out *strings.Builder, field controlapi.Field, width int) {
	indent := strings.Repeat(" ", recordIdent)
	if text, ok := field.Value.(string); ok && strings.Contains(strings.TrimSpace(text), "\n") {
		fmt.Fprintf(out, "%s:\n", field.Name)
		for line := range strings.Lines(text) {
			out.WriteString(indent + Sanitize(strings.TrimRight(line, "\r\n")) + "\n")
		}
		return
	}
	lines := []string{field.Name + ": " + format(field.Value)}
	if width > recordIdent {
		lines = wrap(lines[0], width-recordIdent)
	}
	for i, line := range lines {
		if i > 0 {
			out.WriteString(indent)
		}
		out.WriteString(line + "\n")
	}
}

func cells(row controlapi.Row) []string {
	list := make([]string, 0, len(row))
	for _, field := range row {
		list = append(list, format(field.Value))
	}
	return list
}

func format(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case string:
		return Sanitize(strings.Join(strings.Fields(value), " "))
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	return Sanitize(fmt.Sprint(value))
}

// Sanitize replaces control characters, so that a name chosen elsewhere cannot
// drive the operator's terminal.
func Sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || !unicode.IsPrint(r) && r != ' ' {
			return unicode.ReplacementChar
		}
		return r
	}, text)
}
