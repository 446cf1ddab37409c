package schedule

import (
	"time"

	"mangohill.example/mangohill/interference"
)

// Model predicts how much the tasks on a host slow its services down.
// interference.Model implements it; experiments use other models.
type Model interface {
	Class(name string) interference.Class
	Acquire(victim string) interference.VictimID
	Release(interference.VictimID)
	Observe(taken time.Time, id interference.VictimID, load float64, shares *interference.ClassShares, logLatency float64)
	Baseline(id interference.VictimID, load float64) (mean, variance float64)
	LogSlowdown(id interference.VictimID, c interference.Class, load, share float64) (mean, variance float64)
}

// Options configures a Scheduler. Zero fields take their defaults.
type Options struct {
	// Seed is the seed of the random source that picks where a search begins.
	Seed uint64
	// MaxStarts bounds the starts in one Plan.
	MaxStarts int
	// MaxSearches bounds the searches of all hosts in one Plan. Beyond it, tasks whose
	// last search found no host are tried only on hosts freed since.
	MaxSearches int
	// ConfirmTimeout is how long an unconfirmed action is assumed to be applied.
	ConfirmTimeout time.Duration
	// Model predicts interference. The default is a new interference.Model.
	Model Model
	// FirstFit takes the first host with room and disables relief and preemption. It
	// is the baseline of experiments.
	FirstFit bool
}

const (
	defaultMaxStarts      = 256
	defaultMaxSearches    = 64
	defaultConfirmTimeout = 30 * time.Second
	// feasibleHostsToFind is the number of feasible hosts at which the search for a
	// batch task stops.
	feasibleHostsToFind = 64
	// minFailureBackoff and maxFailureBackoff bound the backoff after a failed
	// attempt, which doubles with each failure.
	minFailureBackoff = time.Second
	maxFailureBackoff = 5 * time.Minute
	// overdueAfter is how long after its submission a task without a deadline counts
	// as overdue in the queue order.
	overdueAfter = time.Hour
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
