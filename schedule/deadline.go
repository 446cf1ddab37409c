package schedule

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// finishQuantile is the quantile of the learned run times by which a task must be able
	// to finish.
	finishQuantile = 0.25
	// deadlineRecheckInterval is the backoff of a task that cannot finish in time.
	deadlineRecheckInterval = time.Minute
)

// latestEnd returns the time by which t must finish, and what sets it. A zero time
// means that there is no limit.
func (s *Scheduler) latestEnd(t *task) (end time.Time, what string) {
	if t.Job.DeadlineMs > 0 {
		end, what = unixMs(t.Job.DeadlineMs), "its deadline"
	}
	credits := s.config.CreditsEnd
	if !credits.IsZero() && (end.IsZero() || credits.Before(end)) {
		end, what = credits, "the end of the credits"
	}
	return end, what
}

// cannotFinish reports whether t cannot finish by its latest end any more.
func (s *Scheduler) cannotFinish(t *task) bool {
	end, _ := s.latestEnd(t)
	if end.IsZero() {
		return false
	}
	return s.now.Add(s.remainingRuntime(t)).After(end)
}

// remainingRuntime is the run time that t still needs. It is zero for a service or
// watcher, which is useful for as long as it runs.
func (s *Scheduler) remainingRuntime(t *task) time.Duration {
	if t.Job.Kind != types.KindBatch {
		return 0
	}
	total := t.expectedRuntime(finishQuantile)
	if t.savedProgress > 0 {
		return total * time.Duration(1000-min(t.savedProgress, 1000)) / 1000
	}
	return max(total-t.keptRuntime, 0)
}

func (s *Scheduler) cannotFinishText(t *task) string {
	end, what := s.latestEnd(t)
	return fmt.Sprintf("not started: it needs %s and cannot finish before %s at %s",
		s.remainingRuntime(t).Round(time.Second), what, end.UTC().Format(time.RFC3339))
}
