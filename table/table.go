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

// Write renders rows to w, with lines of at most width characters if possible; a
// width of zero means no limit. If the rows are too wide, columns that are empty in
// all rows are left out, and cells are wrapped, never truncated. The last columns
// that still don't fit are left out and listed below the table. If even the first
// few columns don't fit, each row is written as a record, one field a line. Errors
// are those of w.
func Write(w io.Writer, rows []controlapi.Row, width int) error {
	var out strings.Builder
	for _, group := range groupByColumns(rows) {
		if out.Len() > 0 {
			out.WriteByte('\n')
		}
		render(&out, group, width)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// WriteJSON writes v to w as one line of JSON. Errors are those of the encoding or
// of w.
func WriteJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// groupByColumns splits rows into runs with the same columns.
func groupByColumns(rows []controlapi.Row) [][]controlapi.Row {
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
	if width > 0 && lineWidth(naturalWidths(rows)) > width {
		rows = withoutEmptyColumns(rows)
	}
	shown, widths := fitColumns(rows, width)
	if widths == nil || len(rows) == 1 && hasLineBreak(rows[0]) {
		renderRecords(out, rows, width)
		return
	}
	renderTable(out, shown, widths)
	if omitted := columnNames(rows[0])[len(widths):]; len(omitted) > 0 {
		note := "columns left out: " + strings.Join(omitted, ", ") + " (a wider terminal or --json shows them)"
		out.WriteString(strings.Join(wrap(note, width), "\n") + "\n")
	}
}

// fitColumns returns the rows with as many of their first columns as fit, and the
// widths of these columns. The widths are nil if fewer than minTableColumns fit,
// or, for rows with fewer columns, if not all fit.
func fitColumns(rows []controlapi.Row, width int) ([]controlapi.Row, []int) {
	for count := len(rows[0]); count >= min(minTableColumns, len(rows[0])); count-- {
		shown := firstColumns(rows, count)
		if widths, ok := shrinkToFit(naturalWidths(shown), minWidths(shown), width); ok {
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
	rightAligned := numericColumns(rows)
	renderLine(out, columnNames(rows[0]), widths, rightAligned)
	for _, row := range rows {
		renderLine(out, cells(row), widths, rightAligned)
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

// numericColumns reports which columns hold no text and no empty value.
func numericColumns(rows []controlapi.Row) []bool {
	rightAligned := make([]bool, len(rows[0]))
	for i := range rightAligned {
		rightAligned[i] = true
		for _, row := range rows {
			if _, isString := row[i].Value.(string); isString || row[i].Value == nil {
				rightAligned[i] = false
			}
		}
	}
	return rightAligned
}

// renderLine writes one row, on several lines if cells wrap.
func renderLine(out *strings.Builder, cells []string, widths []int, rightAligned []bool) {
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
				text.WriteString(strings.Repeat(" ", columnGap))
			}
			text.WriteString(pad(part, widths[i], rightAligned[i]))
		}
		out.WriteString(strings.TrimRight(text.String(), " "))
		out.WriteByte('\n')
	}
}

// hasLineBreak reports whether a value of the row has several lines, such as the
// text of a configuration. A table of several rows joins the lines of a value.
func hasLineBreak(row controlapi.Row) bool {
	return slices.ContainsFunc(row, func(field controlapi.Field) bool {
		text, ok := field.Value.(string)
		return ok && strings.Contains(strings.TrimSpace(text), "\n")
	})
}

// renderRecords writes each row as lines "name: value". A value with line breaks
// follows its name on separate lines.
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
	indent := strings.Repeat(" ", recordIndent)
	if text, ok := field.Value.(string); ok && strings.Contains(strings.TrimSpace(text), "\n") {
		fmt.Fprintf(out, "%s:\n", field.Name)
		for line := range strings.Lines(text) {
			out.WriteString(indent + Sanitize(strings.TrimRight(line, "\r\n")) + "\n")
		}
		return
	}
	lines := []string{field.Name + ": " + format(field.Value)}
	if width > recordIndent {
		lines = wrap(lines[0], width-recordIndent)
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

// Sanitize replaces control and other unprintable characters, so that text from
// elsewhere cannot send control sequences to the operator's terminal.
func Sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || !unicode.IsPrint(r) && r != ' ' {
			return unicode.ReplacementChar
		}
		return r
	}, text)
}
