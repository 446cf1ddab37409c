// Package latency holds a histogram of durations that package expvar can publish.
package latency

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the largest recorded value; longer durations count as it.
	maxDuration = time.Minute
	// significantDigits is the number of decimal digits kept of a recorded value.
	significantDigits = 2
)

// Histogram counts durations in microseconds. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

// Record counts one duration. Durations below a microsecond count as one.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(min(max(d, time.Microsecond), maxDuration).Microseconds()) // The clamped value is always in range.
}

// String implements expvar.Var. It returns a JSON object with the count, and the
// quantiles and the maximum in microseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf(`{"count": %d, "p50_us": %d, "p90_us": %d, "p99_us": %d, "p999_us": %d, "max_us": %d}`,
		h.counts.TotalCount(), h.counts.ValueAtQuantile(50), h.counts.ValueAtQuantile(90), h.counts.ValueAtQuantile(99), h.counts.ValueAtQuantile(99.9), h.counts.Max())
}
