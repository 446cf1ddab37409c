package schedule

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// throttledStartAfter is how long a batch task waits before it may start throttled.
	throttledStartAfter = 10 * time.Minute
	// hostsPerThrottledStart is the number of hosts for each attempt of a class, after the
	// first, that may run after a throttled start. Such an attempt holds its whole request
	// and does only part of the work.
	hostsPerThrottledStart = 32
)

// startShares are the processor shares tried for a throttled start, in thousandths.
var startShares = [...]int64{firstShareMilli, lowShareMilli, lowestShareMilli}

// searchThrottled finds a host on which t, which has waited long, stays within the
// slowdown limit with a part of its processors. Without it, a class that slows
// services down on every host would never run.
func (s *Scheduler) searchThrottled(t *task, state *searchState) *host {
	if t.Job.Kind != types.KindBatch || t.privileged() || s.options.FirstFit || s.now.Before(state.nextThrottledSearchAt) {
		return nil
	}
	if s.throttledStartCount[t.job.classID] > len(s.hosts)/hostsPerThrottledStart {
		return nil
	}
	if s.now.Sub(unixMs(max(t.SubmittedMs, t.ChangedMs))) < throttledStartAfter || s.scratch.searches == 0 {
		return nil
	}
	s.scratch.searches--
	state.nextThrottledSearchAt = s.now.Add(batchSearchInterval)
	before := t.decision
	for _, share := range startShares {
		t.startShareMilli = share
		if best := s.search(t); best != nil {
			return best
		}
	}
	t.startShareMilli = 0
	t.decision = before
	return nil
}

// throttleStarted throttles the attempts of throttled starts as soon as they run.
func (s *Scheduler) throttleStarted() {
	kept := s.throttledStarts[:0]
	for _, t := range s.throttledStarts {
		if t.startShareMilli == 0 || s.tasks[t.ID] != t {
			continue
		}
		if t.State != types.TaskRunning || s.inFlight(t) {
			kept = append(kept, t)
			continue
		}
		s.throttleAtStart(t)
	}
	clear(s.throttledStarts[len(kept):])
	s.throttledStarts = kept
}

func (s *Scheduler) throttleAtStart(t *task) {
	share := t.startShareMilli
	t.startShareMilli = 0
	t.throttles++
	t.throttledAt = s.now
	t.markInFlight(s)
	reason := fmt.Sprintf("class %q harms the services on every host at its full use", t.job.class)
	s.emit(Throttle{Task: t.ID, Epoch: t.Epoch, ShareMilli: share, Reason: reason})
}

func (s *Scheduler) endThrottledStart(t *task) {
	if t.throttledStart {
		t.throttledStart = false
		s.throttledStartCount[t.job.classID]--
	}
}
