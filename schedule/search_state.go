package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// placementKey identifies tasks that are interchangeable in placement (an equivalence
// class): if one finds no host, the others find none either. A task with a failed or
// avoided host or with a reservation has a key of its own.
type placementKey struct {
	kind       types.TaskKind
	class      string
	job        string // services only: their replicas spread by job
	privileged bool
	request    types.Resources
	onlyTask   types.TaskID // set in the key of a single task
}

// searchState records the last search for a key that found no host, so that the next
// one examines only the hosts that were freed since.
type searchState struct {
	key                   placementKey
	groups                int       // number of groups with the key
	noHostFound           bool      // by the last search of all hosts
	searchedSequence      uint64    // Scheduler.freedSequence at the last search
	fullSearchAt          time.Time // next search of all hosts
	nextPreemptionAt      time.Time // no preemption is tried before
	nextReservationAt     time.Time // no host is reserved before
	nextThrottledSearchAt time.Time // no throttled start is tried before
	decision              decision  // of the last search of all hosts
}

const (
	// batchSearchInterval and privilegedSearchInterval are the times after which all
	// hosts are searched again.
	batchSearchInterval      = 10 * time.Second
	privilegedSearchInterval = time.Second
)

func placementKeyOf(t *task) placementKey {
	key := placementKey{kind: t.Job.Kind, class: t.job.class, privileged: t.privileged(), request: t.Job.Request}
	if t.Job.Kind == types.KindService {
		key.job = t.job.name
	}
	if len(t.FailedOn) > 0 || t.avoidHost != 0 || t.reservation != nil {
		key.onlyTask = t.ID
	}
	return key
}

func (q *queue) searchStateFor(key placementKey) *searchState {
	state := q.searches[key]
	if state == nil {
		state = &searchState{key: key}
		q.searches[key] = state
	}
	return state
}

// recordNoHost records a search that found no host; all tells whether it covered all
// hosts.
func (state *searchState) recordNoHost(s *Scheduler, d *decision, all bool) {
	state.searchedSequence = s.freedSequence
	if !all {
		return
	}
	state.noHostFound = true
	state.decision = *d
	state.fullSearchAt = s.now.Add(batchSearchInterval)
	if state.key.privileged && state.key.onlyTask == 0 {
		state.fullSearchAt = s.now.Add(privilegedSearchInterval)
	}
}

// freedHost is an entry of Scheduler.freedLog.
type freedHost struct {
	host     *host
	sequence uint64
}

// recordFreed records that room may have been freed on h.
func (s *Scheduler) recordFreed(h *host) {
	s.queue.requestRetry()
	s.freedSequence++
	h.freedSequence = s.freedSequence
	s.freedLog = append(s.freedLog, freedHost{h, s.freedSequence})
	if len(s.freedLog) > 4*len(s.hosts)+freedLogSlack {
		s.compactFreed()
	}
}

// freedLogSlack is the number of entries beyond four for each host at which the log
// of freed hosts is compacted.
const freedLogSlack = 256

// compactFreed drops the entries of hosts that were freed again later or removed.
func (s *Scheduler) compactFreed() {
	kept := s.freedLog[:0]
	for _, f := range s.freedLog {
		if f.host.freedSequence == f.sequence && s.hostByID[f.host.worker.ID] == f.host {
			kept = append(kept, f)
		}
	}
	clear(s.freedLog[len(kept):])
	s.freedLog = kept
}
