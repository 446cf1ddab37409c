// Package operator sends commands from the command line to an entry host over
// HTTP. It holds the client, which resends a command with the same ID until its
// reply is final or its timeout ends, and the handler that an entry host mounts.
package operator
