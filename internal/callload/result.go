package callload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the figures of a run.
type Result struct {
	Config Config
	// Latency and Delay are in microseconds; Delay is the time beyond service.
	Latency *hdrhistogram.Histogram
	Delay   *hdrhistogram.Histogram
	Offered int
	Done    int
	Refused int
	// Lost counts the requests of callers whose entry host died.
	Lost int
	// Hops counts the requests that were handed to a peer.
	Hops int
	// Hedges counts the second sends.
	Hedges int
	// MaxHops is the largest number of hops of one request.
	MaxHops int
	// Peak is the largest number of requests that a target had at a time.
	Peak int
	// Messages and MessageBytes count what the entry hosts sent each other beside
	// the requests.
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

// Quantile returns the latency at q per cent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// DelayQuantile returns the time beyond service at q per cent.
func (r *Result) DelayQuantile(q float64) time.Duration {
	return time.Duration(r.Delay.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the requests that were done, a second.
func (r *Result) Goodput() float64 { return float64(r.Done) / r.Config.Duration.Seconds() }

// RefusedShare returns the share of the offered requests that were refused.
func (r *Result) RefusedShare() float64 { return share(r.Refused, r.Offered) }

// HopShare returns the share of the offered requests that took a hop.
func (r *Result) HopShare() float64 { return share(r.Hops, r.Offered) }

// HedgeShare returns the share of the offered requests that were sent twice.
func (r *Result) HedgeShare() float64 { return share(r.Hedges, r.Offered) }

// HostBytes returns the bytes a second that one entry host sent beside the
// requests.
func (r *Result) HostBytes() float64 {
	return float64(r.MessageBytes) / r.elapsed.Seconds() / float64(r.Config.Entries)
}

// HostMessages returns the messages a second that one entry host sent beside
// the requests.
func (r *Result) HostMessages() float64 {
	return float64(r.Messages) / r.elapsed.Seconds() / float64(r.Config.Entries)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
