package schedule

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// horizonQuantile is the quantile of the learned run times by which a task
	// must be able to finish.
	horizonQuantile = 0.25
	// horizonRecheck is the pause before a task that is too late is looked at again.
	horizonRecheck = time.Minute
)

// horizon returns the end by which t has to finish, and what sets it. A zero time
// means no end.
func (s *Scheduler) horizon(t *task) (end time.Time, what string) {
	if t.Job.DeadlineMs > 0 {
		end, what = unixMs(t.Job.DeadlineMs), "its deadline"
	}
	credits := s.config.CreditsEnd
	if !credits.IsZero() && (end.IsZero() || credits.Before(end)) {
		end, what = credits, "the end of the credits"
	}
	return end, what
}

// tooLate reports whether t cannot usefully finish any more.
func (s *Scheduler) tooLate(t *task) bool {
	end, _ := s.horizon(t)
	if end.IsZero() {
		return false
	}
	return s.now.Add(s.remaining(t)).After(end)
}

// remaining is the run time that t still needs. A service or watcher is useful
// until the end.
func (s *Scheduler) remaining(t *task) time.Duration {
	if t.Job.Kind != types.KindBatch {
		return 0
	}
	whole := t.expectedRuntime(horizonQuantile)
	if t.savedProgress > 0 {
		return whole * time.Duration(1000-min(t.savedProgress, 1000)) / 1000
	}
	return max(whole-t.ranBefore, 0)
}

func (s *Scheduler) tooLateText(t *task) string {
	end, what := s.horizon(t)
	return fmt.Sprintf("not started: it needs %s and cannot finish before %s at %s",
		s.remaining(t).Round(time.Second), what, end.UTC().Format(time.RFC3339))
}
