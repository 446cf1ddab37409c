// Package kind defines the closed list of error kinds of the system and the
// single table that maps each kind to its answer: the HTTP status, the outcome
// reported to the caller, whether a retry is useful, and the exit code of the
// command-line tool.
//
// Every error that crosses a process boundary is one of these kinds. Errors are
// rendered as RFC 9457 problem documents.
package kind
