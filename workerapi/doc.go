// Package workerapi defines the JSON messages between the system and the
// platform's workers and targets, and clients for the workers' and targets'
// side of them.
package workerapi
