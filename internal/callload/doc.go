// Package callload drives the routing decisions of package route in virtual
// time: several entry hosts, targets with slots, a balancer in front, and loads
// and faults that vary. It compares ways of routing with a central queue that
// knows everything about the same targets.
package callload
