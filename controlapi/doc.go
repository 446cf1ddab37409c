// Package controlapi defines the RPC messages between entry hosts, control
// hosts and the command line, and the clients that send them over net/rpc.
//
// The method names are "Control.<Method>" for calls to the leading control
// process, and "Peer.<Method>" and "Entry.<Method>" for calls between entry hosts. A
// control process that is not the leader returns an error of kind not_leader. Its
// detail holds the leader's address, see kind.LeaderHint.
package controlapi
