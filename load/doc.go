// Package load generates an open-loop load of requests against entry hosts and
// checks every answer against its own request.
//
// Arrivals follow a Poisson process, so that a slow answer does not slow the
// requests after it (coordinated omission, Gil Tene). Latencies are counted from
// the planned arrival.
package load
