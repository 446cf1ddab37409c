// Package logging builds the log of a process: one event per line, from a closed
// list of events, with a rate limit for each event.
//
// The message of a line is the name of its event. A test compares the messages
// of the whole source tree with Events. A line that belongs to a request or a command
// carries its ID under FieldRequest or FieldCommand, the same in every process
// that the request or command passes.
package logging
