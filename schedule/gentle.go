package schedule

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// gentleAfter is how long a batch task waits before it may start throttled.
	gentleAfter = 10 * time.Minute
	// hostsPerGentle is the number of hosts for each attempt of a class, after the
	// first, that may run after a throttled start. Each holds its whole request
	// and does a part of the work.
	hostsPerGentle = 32
)

// gentleShares are the shares that are tried, in thousandths.
var gentleShares = [...]int64{firstShare, lowShare, lowerShare}

// startGently finds a host on which t, which has waited long, does no harm with a
// part of its processors. Without it a class that harms services on every host
// would never run.
func (s *Scheduler) startGently(t *task, f *fit) *host {
	if t.Job.Kind != types.KindBatch || t.privileged() || s.options.FirstFit || s.now.Before(f.gentleAt) {
		return nil
	}
	if s.gently[t.job.index] > len(s.hosts)/hostsPerGentle {
		return nil
	}
	if s.now.Sub(unixMs(max(t.SubmittedMs, t.ChangedMs))) < gentleAfter || s.scratch.searches == 0 {
		return nil
	}
	s.scratch.searches--
	f.gentleAt = s.now.Add(retryBatch)
	before := t.decision
	for _, share := range gentleShares {
		t.gentle = share
		if best := s.search(t); best != nil {
			return best
		}
	}
	t.gentle = 0
	t.decision = before
	return nil
}

// keepGentle throttles the attempts that were started so, as soon as they run.
func (s *Scheduler) keepGentle() {
	kept := s.gentle[:0]
	for _, t := range s.gentle {
		if t.gentle == 0 || s.tasks[t.ID] != t {
			continue
		}
		if t.State != types.TaskRunning || s.awaits(t) {
			kept = append(kept, t)
			continue
		}
		s.throttleGently(t)
	}
	clear(s.gentle[len(kept):])
	s.gentle = kept
}

func (s *Scheduler) throttleGently(t *task) {
	share := t.gentle
	t.gentle = 0
	t.throttles++
	t.throttledAt = s.now
	t.await(s)
	reason := fmt.Sprintf("class %q harms the services on every host at its full use", t.job.class)
	s.emit(Throttle{Task: t.ID, Epoch: t.Epoch, ShareMilli: share, Reason: reason})
}

func (s *Scheduler) endGentle(t *task) {
	if t.gently {
		t.gently = false
		s.gently[t.job.index]--
	}
}
