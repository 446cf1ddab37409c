package schedule

import (
	"time"

	"mangohill.example/mangohill/interference"
)

// Model predicts the interference between the neighbours on a host. It is
// interference.Model, but for experiments.
type Model interface {
	Class(name string) interference.Class
	Acquire(victim string) interference.VictimID
	Release(interference.VictimID)
	Observe(taken time.Time, id interference.VictimID, load float64, shares *interference.ClassShares, logLatency float64)
	Baseline(id interference.VictimID, load float64) (mean, variance float64)
	LogSlowdown(id interference.VictimID, c interference.Class, load, share float64) (mean, variance float64)
}

// Options sets up a Scheduler. Zero fields take the defaults.
type Options struct {
	// Seed is the seed of the tie-breaking random source.
	Seed uint64
	// MaxStarts bounds the starts of one Plan.
	MaxStarts int
	// MaxSearches bounds the repeated searches of all hosts in one Plan.
	MaxSearches int
	// ConfirmTimeout is how long an action counts as applied without confirmation.
	ConfirmTimeout time.Duration
	// Model predicts interference; the default is a new interference.Model.
	Model Model
	// FirstFit takes the first host with room and gives services no relief. It is
	// the baseline of experiments.
	FirstFit bool
}

const (
	defaultMaxStarts      = 256
	defaultMaxSearches    = 64
	defaultConfirmTimeout = 30 * time.Second
	// enoughHosts is the number of acceptable hosts after which the search for a
	// batch task ends.
	enoughHosts = 64
	// failureBackoff and maxFailureBackoff bound the pause after a failed attempt.
	failureBackoff    = time.Second
	maxFailureBackoff = 5 * time.Minute
	// patience is how long a task without a deadline waits before it counts as
	// overdue in the order of its queue.
	patience = time.Hour
)

func (o Options) withDefaults() Options {
	if o.MaxStarts == 0 {
		o.MaxStarts = defaultMaxStarts
	}
	if o.MaxSearches == 0 {
		o.MaxSearches = defaultMaxSearches
	}
	if o.ConfirmTimeout == 0 {
		o.ConfirmTimeout = defaultConfirmTimeout
	}
	if o.Model == nil {
		o.Model = interference.NewModel()
	}
	return o
}
