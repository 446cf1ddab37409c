// Package registry keeps the targets that announced themselves to any entry
// host.
//
// A change that a target announces is answered only when every other live entry
// host has it, so that a leaving target gets nothing new from any of them even
// if the host it told dies at once. Repeated announcements without a change are
// answered at once and passed on in one small message to each peer every two seconds.
// Entry hosts that meet after a restart or a partition exchange their tables.
//
// Table is pure; Registry joins it to HTTP, net/rpc and the clock.
package registry
