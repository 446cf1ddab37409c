// Package membership keeps each entry host's view of its peers.
//
// Every entry host sends a small UDP heartbeat to every other one. A heartbeat
// also names the newest heartbeat that its sender has of each other member, so
// that a broken link between two hosts does not make them take each other for
// dead (the gossip-style failure detector of van Renesse, Minsky and Hayden,
// Middleware 1998). Heartbeats carry the version of the configuration in force
// and the load of each service.
//
// Core is pure; Driver joins it to a socket and a clock.
package membership
