package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// evictionsPerHostHour is the number of relief evictions that one host adds to the
	// budget in an hour, at equal weights of evictions and of the other goals.
	evictionsPerHostHour = 0.25
	// burstHours is the number of hours of budget that can be saved up.
	burstHours = 0.25
)

// evictionBudget is a token bucket that bounds the relief evictions of the cluster.
type evictionBudget struct {
	rate   float64 // tokens in an hour
	tokens float64
	at     time.Time
}

// setRate sets the rate for a number of hosts and the configured weights.
func (b *evictionBudget) setRate(hosts int, w types.Weights) {
	others := (w.TailLatency + w.Throughput) / 2
	factor := 1.0
	if w.Evictions > 0 && others > 0 {
		factor = min(max(others/w.Evictions, 0.25), 4)
	}
	b.rate = evictionsPerHostHour * float64(hosts) * factor
}

func (b *evictionBudget) burst() float64 { return max(b.rate*burstHours, 1) }

// available adds the tokens since the last call and reports whether one is left.
func (b *evictionBudget) available(now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = b.burst()
	} else {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Hours(), b.burst())
	}
	b.at = now
	return b.tokens >= 1
}

func (b *evictionBudget) spend() { b.tokens-- }
