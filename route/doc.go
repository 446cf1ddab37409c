// Package route decides what one entry host does with each request: send it to
// a target, queue it, forward it to a peer entry host (a hop), or refuse it.
//
// The package has no clock, socket or goroutine. The code that uses it passes
// the time with every event and carries out the returned decisions.
package route
