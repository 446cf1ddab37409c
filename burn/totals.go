package burn

import (
	"net/http"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"mangohill.example/mangohill/kind"
)

// Range and precision of the latency histograms. Values are microseconds.
const (
	minLatencyUs      = 1
	maxLatencyUs      = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Totals are the counts of one service in one span of time.
type Totals struct {
	// Requests is the number of counted requests, Bad those that count against
	// success. Unknown, NotRun and Failed divide Bad by cause.
	Requests int64
	Bad      int64
	Unknown  int64
	NotRun   int64
	Failed   int64
	latency  *hdr.PackedHistogram
}

func newTotals() Totals {
	return Totals{latency: hdr.NewPacked(minLatencyUs, maxLatencyUs, significantDigits)}
}

// counts reports whether a request counts for the service's objectives. One that
// was refused for a fault of its caller's does not.
func counts(outcome kind.Outcome, status int) bool {
	return outcome != kind.OutcomeNotRun || status >= http.StatusInternalServerError
}

func (t *Totals) observe(took time.Duration, outcome kind.Outcome, status int) {
	t.Requests++
	switch {
	case outcome == kind.OutcomeNotRun:
		t.NotRun++
		t.Bad++
	case outcome != kind.OutcomeDone:
		t.Unknown++
		t.Bad++
	default:
		if status >= http.StatusInternalServerError {
			t.Failed++
			t.Bad++
		}
		value := min(max(took.Microseconds(), minLatencyUs), maxLatencyUs)
		_ = t.latency.RecordValue(value) // The value lies within the range.
	}
}

func (t *Totals) add(o *Totals) {
	t.Requests += o.Requests
	t.Bad += o.Bad
	t.Unknown += o.Unknown
	t.NotRun += o.NotRun
	t.Failed += o.Failed
	t.latency.Merge(o.latency)
}

func (t *Totals) empty() bool { return t.Requests == 0 }

// Answered returns the number of requests that a target answered.
func (t *Totals) Answered() int64 { return t.latency.TotalCount() }

// Quantile returns the latency below which q percent of the answers lie.
func (t *Totals) Quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtPercentile(q)) * time.Microsecond
}

// SlowerThan returns the number of answers that took longer than limit, within the
// precision of the histogram.
func (t *Totals) SlowerThan(limit time.Duration) int64 {
	var slower int64
	t.latency.ForEachBucket(func(value, count int64) bool {
		if value > limit.Microseconds() {
			slower += count
		}
		return true
	})
	return slower
}
