// Package operator carries commands from the command line to an entry host over
// HTTP: the client, which resends a command under the same ID until its answer
// or its timeout, and the handler that an entry host mounts.
package operator
