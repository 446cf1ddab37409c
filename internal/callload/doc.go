// Package callload simulates request routing in virtual time: several entry hosts
// behind a load balancer, targets with slots, and varying load and faults. It
// runs the code of package route and compares routing policies with a central
// queue that has complete knowledge of the targets.
package callload
