// Package load generates an open-loop load of requests against entry hosts and
// checks that every answer belongs to its request.
//
// Arrivals follow a Poisson process that does not depend on answers, so that a slow
// answer delays no later request. Latencies are measured from the planned arrival.
// Both avoid coordinated omission (Gil Tene).
package load
