// Package chart interprets state charts. A chart is a YAML file that lists the
// states of an object and, for each state, the events that it accepts and the
// state that follows. An event that a state does not list is an error of kind
// invalid_transition; an event without effect leads back to the same state.
package chart
