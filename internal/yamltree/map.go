package yamltree

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one fault of a document. Line counts from 1. Key is the dotted path
// of the key, empty for a fault of the document itself.
type Fault struct {
	Line    int
	Key     string
	Problem string
}

// Map is a mapping whose keys are read once each. The methods that read a value
// record a fault if it is malformed or outside its limits.
type Map struct {
	path    string
	line    int
	entries []entry
	faults  *[]Fault
}

type entry struct {
	name string
	line int
	node ast.Node
	read bool
}

// Limits of a document: its length in bytes and the nesting depth of its brackets.
// The parse time of the YAML library grows with the square of each.
const (
	MaxTextBytes = 64 << 10
	maxDepth     = 32
)

// Parse parses text and returns its top-level mapping, which appends its faults to
// faults. The Map is nil if the text is not a single YAML mapping or exceeds the
// limits.
func Parse(text string, faults *[]Fault) *Map {
	if fault := checkBounds(text); fault != nil {
		*faults = append(*faults, *fault)
		return nil
	}
	file, err := parseFile(text)
	if err != nil {
		*faults = append(*faults, syntaxFault(err))
		return nil
	}
	if len(file.Docs) > 1 {
		*faults = append(*faults, Fault{Line: 1, Problem: "must hold one YAML document, not several"})
		return nil
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return &Map{line: 1, faults: faults}
	}
	return newMap("", file.Docs[0].Body, faults)
}

// parseFile turns a panic of the YAML library into an error: a malformed file must
// not crash a daemon.
func parseFile(text string) (file *ast.File, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("cannot be parsed: %v", cause)
		}
	}()
	return parser.ParseBytes([]byte(text), 0, parser.AllowDuplicateMapKey())
}

// checkBounds returns a fault if the text is too long or its brackets are nested too
// deeply. It also counts brackets in strings and comments.
func checkBounds(text string) *Fault {
	if len(text) > MaxTextBytes {
		return &Fault{Line: 1, Problem: fmt.Sprintf("has %d bytes, want at most %d", len(text), MaxTextBytes)}
	}
	line, depth := 1, 0
	for _, r := range text {
		switch r {
		case '\n':
			line++
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return &Fault{Line: line, Problem: fmt.Sprintf("is nested deeper than %d", maxDepth)}
		}
	}
	return nil
}

func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Problem: err.Error()}
	var syntax yaml.Error
	if !asYAMLError(err, &syntax) {
		return fault
	}
	fault.Problem = syntax.GetMessage()
	if token := syntax.GetToken(); token != nil && token.Position != nil {
		fault.Line = token.Position.Line
	}
	return fault
}

func newMap(path string, node ast.Node, faults *[]Fault) *Map {
	m := &Map{path: path, line: lineOf(node), faults: faults}
	switch node := node.(type) {
	case *ast.MappingNode:
		m.addAll(node.Values)
	case *ast.MappingValueNode:
		m.addAll([]*ast.MappingValueNode{node})
	case *ast.CommentGroupNode, *ast.NullNode:
	default:
		m.fault(m.line, path, "must be a mapping of keys to values, not %s", describe(node))
		return nil
	}
	return m
}

func (m *Map) addAll(values []*ast.MappingValueNode) {
	first := make(map[string]int, len(values))
	for _, value := range values {
		name := keyName(value.Key)
		line := lineOf(value.Key)
		if value.Key.IsMergeKey() {
			m.fault(line, m.join(name), "merge keys are not supported")
			continue
		}
		if earlier, ok := first[name]; ok {
			m.fault(line, m.join(name), "is given twice (first in line %d)", earlier)
			continue
		}
		first[name] = line
		m.entries = append(m.entries, entry{name: name, line: line, node: value.Value})
	}
}

func keyName(key ast.MapKeyNode) string {
	if scalar, ok := key.(ast.ScalarNode); ok {
		return fmt.Sprint(scalar.GetValue())
	}
	return strings.TrimSpace(key.String())
}

// Names returns the keys of the mapping in the order of the document.
func (m *Map) Names() []string {
	names := make([]string, 0, len(m.entries))
	for _, e := range m.entries {
		names = append(names, e.name)
	}
	return names
}

// Line returns the line of the key, or of the mapping if the key is missing.
func (m *Map) Line(name string) int {
	for i := range m.entries {
		if m.entries[i].name == name {
			return m.entries[i].line
		}
	}
	return m.line
}

// Has reports whether the mapping holds the key.
func (m *Map) Has(name string) bool {
	for i := range m.entries {
		if m.entries[i].name == name {
			return true
		}
	}
	return false
}

// Reject records a fault of the value of a key.
func (m *Map) Reject(name, format string, args ...any) {
	m.fault(m.Line(name), m.join(name), format, args...)
}

// Close reports every key that was not read as unknown. The fault lists the known
// keys.
func (m *Map) Close(known ...string) {
	for _, e := range m.entries {
		if e.read {
			continue
		}
		m.fault(e.line, m.join(e.name), "is not a known key (known: %s)", strings.Join(known, ", "))
	}
}

func (m *Map) join(name string) string {
	if m.path == "" {
		return name
	}
	return m.path + "." + name
}

func (m *Map) fault(line int, key, format string, args ...any) {
	*m.faults = append(*m.faults, Fault{Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// lookup marks the entry of the key as read and returns it, or nil if the key is
// missing or null.
func (m *Map) lookup(name string) *entry {
	for i := range m.entries {
		e := &m.entries[i]
		if e.name != name {
			continue
		}
		e.read = true
		if _, null := e.node.(*ast.NullNode); null {
			return nil
		}
		return e
	}
	return nil
}

// RejectAt records a fault of a key at the given line, for example that of a list
// element.
func (m *Map) RejectAt(line int, name, format string, args ...any) {
	m.fault(line, m.join(name), format, args...)
}
