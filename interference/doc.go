// Package interference learns how much tasks slow services down that run on the
// same host.
//
// The Model, for reports over longer times, holds one linear regression for each
// victim, which is a service. It explains the logarithm of the measured latency by
// the victim's own load and by the share of the host that each class of neighbours
// used when the measurement was taken. Both parts are piecewise linear in the load.
// The regression is a Kalman filter over the coefficients: recursive least squares
// whose covariance grows with time, so that old reports are forgotten (Haykin,
// Adaptive Filter Theory, chapter 14). An unknown pair has a careful prior with a wide deviation.
//
// Pairs holds one coefficient for each pair of a victim and a class of neighbours,
// for readings that come each second and say little each. It works on the victim's
// slack, the latency target divided by the tail latency, which falls linearly with
// the load of a queue; Trend follows the slack that a victim has by itself.
//
// History answers who ran on a host, and with which share, when a late report
// was taken. All state is bounded and the package holds no clock.
package interference
