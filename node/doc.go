// Package node composes the daemons from the packages of the library: a control
// process and an entry process, each with its listeners, goroutines and planned
// stop.
package node
