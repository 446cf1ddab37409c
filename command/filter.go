package command

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

// Filter returns the rows that meet every condition. Values are compared as text,
// numbers also numerically, so that 64 equals 64.00. A column that no row has is
// an error of kind BadRequest.
func Filter(rows []controlapi.Row, where []Condition) ([]controlapi.Row, error) {
	if len(where) == 0 || len(rows) == 0 {
		return rows, nil
	}
	for _, condition := range where {
		if !hasColumn(rows, condition.Column) {
			return nil, kind.Errorf(kind.BadRequest, "column %q does not exist (columns: %s)", condition.Column, columns(rows[0]))
		}
	}
	var kept []controlapi.Row
	for _, row := range rows {
		if matches(row, where) {
			kept = append(kept, row)
		}
	}
	return kept, nil
}

func hasColumn(rows []controlapi.Row, name string) bool {
	return slices.ContainsFunc(rows, func(row controlapi.Row) bool {
		return slices.ContainsFunc(row, func(f controlapi.Field) bool { return f.Name == name })
	})
}

func columns(row controlapi.Row) string {
	names := make([]string, 0, len(row))
	for _, field := range row {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}

func matches(row controlapi.Row, where []Condition) bool {
	for _, condition := range where {
		if !equal(row.Get(condition.Column), condition.Value) {
			return false
		}
	}
	return true
}

func equal(value any, text string) bool {
	if fmt.Sprint(value) == text {
		return true
	}
	wanted, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return false
	}
	switch value := value.(type) {
	case int64:
		return float64(value) == wanted
	case float64:
		return value == wanted
	}
	return false
}
