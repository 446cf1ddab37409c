package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// budgetPerHost is the number of relief evictions that one host adds to the
	// budget in an hour, at equal weights of evictions and of the other goals.
	budgetPerHost = 0.25
	// budgetBurst is the part of an hour's budget that may be saved up.
	budgetBurst = 0.25
)

// budget is a token bucket that bounds the relief evictions of the cluster.
type budget struct {
	rate   float64 // tokens in an hour
	tokens float64
	at     time.Time
}

// resize sets the rate for a number of hosts and the weights in force.
func (b *budget) resize(hosts int, w types.Weights) {
	others := (w.TailLatency + w.Throughput) / 2
	factor := 1.0
	if w.Evictions > 0 && others > 0 {
		factor = min(max(others/w.Evictions, 0.25), 4)
	}
	b.rate = budgetPerHost * float64(hosts) * factor
}

func (b *budget) burst() float64 { return max(b.rate*budgetBurst, 1) }

// available adds the tokens since the last call and reports whether one is left.
func (b *budget) available(now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = b.burst()
	} else {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Hours(), b.burst())
	}
	b.at = now
	return b.tokens >= 1
}

func (b *budget) take() { b.tokens-- }
