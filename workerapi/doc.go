// Package workerapi defines the JSON messages between the entry hosts and the
// platform's workers and targets.
package workerapi
