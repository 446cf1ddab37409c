// Package route holds the decisions of the request path of one entry host:
// which target gets a request, which request waits, which is handed to a peer
// entry host and which is refused.
//
// The package is pure: it has no clock, socket or goroutine. The caller passes
// the time with every event and carries out the returned decisions.
package route
