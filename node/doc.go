// Package node assembles the two daemons from the library's packages: a control
// process and an entry process, each with its listeners, goroutines and graceful
// shutdown.
package node
