// Package fleet is a small model of workers in virtual time, to measure
// scheduling decisions. It is a fake: it moves progress, latency, load and faults
// forward in steps by formulas, keeps the tasks in memory and re-checks each
// action as the replicated state does. It models no network, log or lease
// protocol.
package fleet
