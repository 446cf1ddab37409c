package chart

import (
	"embed"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"

	"mangohill.example/mangohill/kind"
)

//go:embed *.yaml
var files embed.FS

// Chart is a state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name        string
	initial     string
	transitions map[string]map[string]string
	states      []string
	events      []string
}

type document struct {
	Name    string           `yaml:"name"`
	Initial string           `yaml:"initial"`
	States  map[string]state `yaml:"states"`
}

type state struct {
	On map[string]string `yaml:"on"`
}

// MustLoad returns the embedded chart of the given name. It panics if the chart
// does not exist or is invalid, since charts are compiled into the program.
func MustLoad(name string) *Chart {
	data, err := files.ReadFile(name + ".yaml")
	if err != nil {
		panic(fmt.Sprintf("chart %q: %v", name, err))
	}
	c, err := Parse(data)
	if err != nil {
		panic(fmt.Sprintf("chart %q: %v", name, err))
	}
	return c
}

// Parse parses and validates a chart: the initial state and every state that a
// transition leads to must be listed. Errors are of kind corrupt.
func Parse(data []byte) (*Chart, error) {
	var doc document
	if err := yaml.UnmarshalWithOptions(data, &doc, yaml.Strict()); err != nil {
		return nil, kind.Errorf(kind.Corrupt, "chart: %w", err)
	}
	c := &Chart{name: doc.Name, initial: doc.Initial, transitions: make(map[string]map[string]string, len(doc.States))}
	for name, s := range doc.States {
		c.transitions[name] = s.On
	}
	if _, ok := c.transitions[c.initial]; !ok {
		return nil, kind.Errorf(kind.Corrupt, "chart %q: initial state %q is not listed", c.name, c.initial)
	}
	for name := range c.transitions {
		if err := c.checkState(name); err != nil {
			return nil, err
		}
	}
	slices.Sort(c.states)
	slices.Sort(c.events)
	c.events = slices.Compact(c.events)
	return c, nil
}

func (c *Chart) checkState(name string) error {
	c.states = append(c.states, name)
	for event, to := range c.transitions[name] {
		if _, ok := c.transitions[to]; !ok {
			return kind.Errorf(kind.Corrupt, "chart %q: state %q, event %q: state %q is not listed", c.name, name, event, to)
		}
		c.events = append(c.events, event)
	}
	return nil
}

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.initial }

// States returns all states in alphabetical order.
func (c *Chart) States() []string { return c.states }

// Events returns all events in alphabetical order.
func (c *Chart) Events() []string { return c.events }

// Next returns the state that follows the given state after an event. The error
// is of kind invalid_transition if the state is not listed or does not accept
// the event.
func (c *Chart) Next(state, event string) (string, error) {
	on, ok := c.transitions[state]
	if !ok {
		return "", kind.Errorf(kind.InvalidTransition, "chart %q has no state %q", c.name, state)
	}
	to, ok := on[event]
	if !ok {
		return "", kind.Errorf(kind.InvalidTransition, "chart %q: state %q does not accept event %q", c.name, state, event)
	}
	return to, nil
}
