// Package trial runs a small cluster in one process, with stand-ins for targets
// and workers, and checks that nothing was lost or run twice.
package trial
