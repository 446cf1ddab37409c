// Package runtimes learns how the run times of attempts relate to their estimates.
//
// A Model keeps a distribution of the ratio of run time and estimate for each Key. It
// holds no clock and does no I/O; it is not safe for concurrent use. A distribution
// with too few samples gives no opinion, so that the caller keeps its own prior.
package runtimes
