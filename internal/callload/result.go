package callload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run.
type Result struct {
	Config Config
	// Latency is the time from arrival to answer, Delay is Latency without the
	// service time. Both are in microseconds.
	Latency *hdrhistogram.Histogram
	Delay   *hdrhistogram.Histogram
	Offered int
	Done    int
	Refused int
	// Lost counts the requests whose entry host crashed.
	Lost int
	// Hops counts the times that a request was handed to a peer.
	Hops int
	// Hedges counts the second copies of requests.
	Hedges int
	// MaxHops is the largest number of hops of one request.
	MaxHops int
	// Peak is the largest number of requests that one target held at the same time.
	Peak int
	// Messages and MessageBytes count the messages between entry hosts that carry no
	// requests.
	Messages     int
	MessageBytes int
	elapsed      time.Duration
}

func newResult(c Config) *Result {
	return &Result{
		Config:  c,
		Latency: hdrhistogram.New(1, 60_000_000, 3),
		Delay:   hdrhistogram.New(1, 60_000_000, 3),
	}
}

// Quantile returns the latency at percentile q, from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// DelayQuantile returns the latency without the service time at percentile q, from
// 0 to 100.
func (r *Result) DelayQuantile(q float64) time.Duration {
	return time.Duration(r.Delay.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the number of requests per second answered within their deadline.
func (r *Result) Goodput() float64 { return float64(r.Done) / r.Config.Duration.Seconds() }

// RefusedShare returns the share of the offered requests that were refused.
func (r *Result) RefusedShare() float64 { return share(r.Refused, r.Offered) }

// HopShare returns the number of hops per offered request.
func (r *Result) HopShare() float64 { return share(r.Hops, r.Offered) }

// HedgeShare returns the number of second copies per offered request.
func (r *Result) HedgeShare() float64 { return share(r.Hedges, r.Offered) }

// HostBytes returns the bytes per second of the messages other than requests that
// one entry host sent on average.
func (r *Result) HostBytes() float64 {
	return float64(r.MessageBytes) / r.elapsed.Seconds() / float64(r.Config.Entries)
}

// HostMessages returns the number of messages per second, other than requests, that
// one entry host sent on average.
func (r *Result) HostMessages() float64 {
	return float64(r.Messages) / r.elapsed.Seconds() / float64(r.Config.Entries)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
