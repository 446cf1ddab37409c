package yamltree

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Map returns the mapping under the key, empty if the key is missing or
// malformed.
func (m *Map) Map(name string) *Map {
	empty := &Map{path: m.join(name), line: m.Line(name), faults: m.faults}
	e := m.lookup(name)
	if e == nil {
		return empty
	}
	child := newMap(m.join(name), e.node, m.faults)
	if child == nil {
		return empty
	}
	child.line = e.line
	return child
}

// Text returns the scalar under the key as text, and false if it is missing or not
// a scalar.
func (m *Map) Text(name string) (string, bool) {
	e := m.lookup(name)
	if e == nil {
		return "", false
	}
	text, ok := scalarText(e.node)
	if !ok {
		m.fault(e.line, m.join(name), "must be a single value, not %s", describe(e.node))
		return "", false
	}
	return text, true
}

// Texts returns the scalars of the sequence under the key and the line of each.
func (m *Map) Texts(name string) ([]string, []int) {
	e := m.lookup(name)
	if e == nil {
		return nil, nil
	}
	sequence, ok := e.node.(*ast.SequenceNode)
	if !ok {
		m.fault(e.line, m.join(name), "must be a list, not %s", describe(e.node))
		return nil, nil
	}
	var texts []string
	var lines []int
	for i, value := range sequence.Values {
		text, ok := scalarText(value)
		if !ok {
			m.fault(lineOf(value), fmt.Sprintf("%s[%d]", m.join(name), i), "must be a single value, not %s", describe(value))
			continue
		}
		texts = append(texts, text)
		lines = append(lines, lineOf(value))
	}
	return texts, lines
}

// Duration returns the duration under the key, in the syntax of
// time.ParseDuration, or fallback if it is missing, malformed or negative.
func (m *Map) Duration(name string, fallback time.Duration) time.Duration {
	text, ok := m.Text(name)
	if !ok {
		return fallback
	}
	if text == "0" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		m.Reject(name, "%q is not a duration such as 250ms or 2s", text)
		return fallback
	}
	if duration < 0 {
		m.Reject(name, "%q is negative", text)
		return fallback
	}
	return duration
}

// Int returns the whole number under the key, or fallback if it is missing,
// malformed or outside lower to upper.
func (m *Map) Int(name string, fallback, lower, upper int64) int64 {
	text, ok := m.Text(name)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		m.Reject(name, "%q is not a whole number", text)
		return fallback
	}
	if number < lower || number > upper {
		m.Reject(name, "%d is outside %d to %d", number, lower, upper)
		return fallback
	}
	return number
}

// Float returns the number under the key, or fallback if it is missing, malformed
// or outside lower to upper.
func (m *Map) Float(name string, fallback, lower, upper float64) float64 {
	text, ok := m.Text(name)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.Reject(name, "%q is not a number", text)
		return fallback
	}
	// The negated condition also rejects NaN.
	if !(number >= lower && number <= upper) {
		m.Reject(name, "%v is outside %v to %v", number, lower, upper)
		return fallback
	}
	return number
}

func scalarText(node ast.Node) (string, bool) {
	switch node := node.(type) {
	case *ast.StringNode:
		return node.Value, true
	case *ast.LiteralNode:
		return node.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return node.GetToken().Value, true
	}
	return "", false
}

func describe(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		return "an anchor, alias or tag"
	case *ast.NullNode:
		return "nothing"
	}
	return "a single value"
}

func lineOf(node ast.Node) int {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return lineOf(mapping.Values[0].Key)
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 1
	}
	return token.Position.Line
}

func asYAMLError(err error, target *yaml.Error) bool { return errors.As(err, target) }
