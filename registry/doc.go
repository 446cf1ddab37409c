// Package registry keeps the targets that announced themselves to any entry
// host.
//
// When a target announces a change, it is answered only once every other live
// entry host has the change. So a leaving target gets no new requests from any
// of them, even if the host that it told dies at once. Repeated announcements
// without a change are answered at once and forwarded in one small message to
// each peer every two seconds. Entry hosts that reconnect after a restart or a
// partition exchange their tables.
//
// Table holds the state without I/O; Registry connects it to HTTP, net/rpc and
// the clock.
package registry
