// Package controlapi defines the RPC messages between entry hosts, control
// hosts and the command line, and the clients that send them over net/rpc.
//
// The method names are "Control.<Method>" for calls to the leading control
// process and "Peer.<Method>" for calls between entry hosts. A control process
// that does not lead answers with the kind not_leader and the leader's address
// in the detail, as LeaderHint reads it.
package controlapi
