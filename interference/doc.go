// Package interference learns how much tasks slow down the services that run on
// the same host. The service is the victim, the other tasks are its neighbours.
//
// Model is meant for reports that each cover a longer time, such as ten seconds.
// It holds one linear regression for each victim. It explains the logarithm of the
// measured latency by the victim's own load and by the share of the host that each
// class of neighbours used when the latency was measured. Both parts are piecewise
// linear in the load. The regression is a Kalman filter over the coefficients:
// recursive least squares whose covariance grows with time, so that old reports
// lose weight (Haykin, Adaptive Filter Theory, chapter 14). A pair without reports
// has a pessimistic prior with a large variance.
//
// PairModel is meant for frequent, noisy measurements, such as one each second. It
// holds one coefficient for each pair of a victim and a neighbour, both given by
// their images. It works on the victim's slack, the latency target divided by the
// tail latency, which falls linearly with the load of a queue. Trend estimates the
// slack that a victim has without neighbours.
//
// History returns which classes of tasks ran on a host, and with which share, when
// a report that arrives late was measured. All state is bounded and the package
// holds no clock.
package interference
