// Package trial runs a small cluster in one process, with simulated targets and
// workers, and checks that no request or task was lost or run twice.
package trial
