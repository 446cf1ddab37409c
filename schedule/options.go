package schedule

import "time"

// Options sets up a Scheduler. Zero fields take the defaults.
type Options struct {
	// Seed is the seed of the tie-breaking random source.
	Seed uint64
	// MaxStarts bounds the starts of one Plan.
	MaxStarts int
	// MaxTrials bounds the placements that one Plan tries, failed ones included.
	MaxTrials int
	// AssumeFor is how long an action counts as applied without confirmation.
	AssumeFor time.Duration
}

const (
	defaultMaxStarts = 256
	defaultMaxTrials = 512
	defaultAssumeFor = 30 * time.Second
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
	if o.MaxTrials == 0 {
		o.MaxTrials = defaultMaxTrials
	}
	if o.AssumeFor == 0 {
		o.AssumeFor = defaultAssumeFor
	}
	return o
}
