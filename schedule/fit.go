package schedule

import (
	"time"

	"mangohill.example/mangohill/types"
)

// fitKey is what decides where a task may run: where one finds no host, others of
// the same key find none either. A task with bans or claims of its own is alike
// to none.
type fitKey struct {
	kind       types.TaskKind
	class      string
	job        string // services spread by job
	privileged bool
	request    types.Resources
	single     types.TaskID
}

// fit remembers the last fruitless search for a key, so that the next one looks
// only at the hosts that were freed since.
type fit struct {
	key              fitKey
	groups           int
	failed           bool
	tried            uint64 // the scheduler's sequence number at the last search
	retryAt          time.Time
	preemptAt        time.Time // no room can be made before
	holdAt           time.Time // no host is held before
	throttledStartAt time.Time // no throttled start is sought before
	decision         decision
}

const (
	// retryBatch and retryPrivileged are the times after which all hosts are
	// searched again.
	retryBatch      = 10 * time.Second
	retryPrivileged = time.Second
)

func fitKeyOf(t *task) fitKey {
	key := fitKey{kind: t.Job.Kind, class: t.job.class, privileged: t.privileged(), request: t.Job.Request}
	if t.Job.Kind == types.KindService {
		key.job = t.job.name
	}
	if len(t.FailedOn) > 0 || t.avoidHost != 0 || t.claim != nil {
		key.single = t.ID
	}
	return key
}

func (q *queue) fitOf(key fitKey) *fit {
	f := q.fits[key]
	if f == nil {
		f = &fit{key: key}
		q.fits[key] = f
	}
	return f
}

// fail remembers a fruitless search.
func (f *fit) fail(s *Scheduler, d *decision, all bool) {
	f.tried = s.sequence
	if !all {
		return
	}
	f.failed = true
	f.decision = *d
	f.retryAt = s.now.Add(retryBatch)
	if f.key.privileged && f.key.single == 0 {
		f.retryAt = s.now.Add(retryPrivileged)
	}
}

// freedHost is an entry of the log of freed hosts.
type freedHost struct {
	host     *host
	sequence uint64
}

// noteFreed records that room may have come up on h.
func (s *Scheduler) noteFreed(h *host) {
	s.queue.unblock()
	s.sequence++
	h.freed = s.sequence
	s.freed = append(s.freed, freedHost{h, s.sequence})
	if len(s.freed) > 4*len(s.hosts)+maxFreedSlack {
		s.compactFreed()
	}
}

// maxFreedSlack is the length up to which the log of freed hosts is not compacted.
const maxFreedSlack = 256

// compactFreed drops the entries of hosts that were freed again later or are gone.
func (s *Scheduler) compactFreed() {
	kept := s.freed[:0]
	for _, f := range s.freed {
		if f.host.freed == f.sequence && s.hostByID[f.host.worker.ID] == f.host {
			kept = append(kept, f)
		}
	}
	clear(s.freed[len(kept):])
	s.freed = kept
}
