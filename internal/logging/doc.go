// Package logging builds the log of a process: one event a line, of a closed
// list of events, with a bound on how often an event repeats.
//
// The message of a line is the name of its event. A test compares the messages
// of the whole tree with Events. A line that belongs to a request or a command
// carries its ID under FieldRequest or FieldCommand, the same in every process
// that the request or command passes.
package logging
