// Package membership maintains each entry host's view of its peers.
//
// Every entry host sends small UDP heartbeats to its peers, each to a few of
// them in turn. A heartbeat also names the newest heartbeat that its sender
// knows of each other member, so that two hosts with a broken link between them
// do not declare each other dead (the gossip-style failure detector of van
// Renesse, Minsky and Hayden, Middleware 1998). Heartbeats carry the version of
// the configuration in force and the load of each service.
//
// Core holds the state without I/O; Driver connects it to a socket and a clock.
package membership
