package dispatch

import (
	"cmp"
	"maps"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// gangHoldDelay is how long a gang waits for room before other scavengers
	// are held back. gangHoldDuration is how long they are held back; the room
	// that becomes free meanwhile adds up for the gang. A scavenger runs for
	// about two seconds.
	gangHoldDelay    = 1500 * time.Millisecond
	gangHoldDuration = 4 * time.Second
	// gangHoldPeriod is the time from one hold to the next for a gang that found
	// no room.
	gangHoldPeriod = 12 * time.Second
)

// placeGang places all tasks of a gang or none.
func (e *Engine) placeGang(p *candidateSet, s *readyStep) {
	if uint32(len(s.pending)) < s.step.Count {
		return // Tasks of an earlier run have not ended yet.
	}
	var chosen []*candidate
	if !p.knownUnplaceable(s) {
		chosen = e.selectGangWorkers(p, s)
	}
	if len(chosen) < int(s.step.Count) {
		e.prepareQuestion(p, s)
		e.recordGangWaiting(s)
		return
	}
	delete(e.gangWaitingSince, s.ref)
	number := uint32(0)
	for _, task := range s.job.Occurrences.Tasks(s.ref.Occurrence, s.ref.Step) {
		number = max(number, task.Attempt)
	}
	e.proposeTogether(func() {
		for i, c := range chosen {
			ref := s.task(uint32(i))
			if !e.place(c, s, ref, number+1) {
				e.log.Error().Stringer("task", ref).Msg("gang not placed")
			}
		}
	})
	s.pending = nil
	e.ready.markDirty(s.ref.Job)
}

// selectGangWorkers returns a worker for each task of the gang, fewer if there is
// not enough room.
func (e *Engine) selectGangWorkers(p *candidateSet, s *readyStep) []*candidate {
	chosen := make([]*candidate, 0, s.step.Count)
	workers := e.rank(p, s)
	for range s.step.Count {
		c := workers.best(e)
		if c == nil {
			break
		}
		c.reserve(s)
		workers.update(e, c)
		chosen = append(chosen, c)
	}
	for _, c := range chosen {
		c.release(s)
	}
	return chosen
}

// recordGangWaiting records when a gang began to wait.
func (e *Engine) recordGangWaiting(s *readyStep) {
	if _, known := e.gangWaitingSince[s.ref]; !known {
		e.gangWaitingSince[s.ref] = e.now
	}
}

// activeGangHolds returns, for each service, the gang for which the other
// scavengers are held back now. Of several, it is the one that has waited
// longest.
func (e *Engine) activeGangHolds() map[string]workflow.StepRef {
	holders := make(map[string]workflow.StepRef)
	for ref, since := range e.gangWaitingSince {
		waited := e.since(since) % gangHoldPeriod
		job := e.state.Job(ref.Job)
		if job == nil || !job.Spec.Steps[ref.Step].Scavenger || waited < gangHoldDelay || waited >= gangHoldDelay+gangHoldDuration {
			continue
		}
		other, taken := holders[job.Service]
		if !taken || since < e.gangWaitingSince[other] || since == e.gangWaitingSince[other] && compareStepRefs(ref, other) < 0 {
			holders[job.Service] = ref
		}
	}
	return holders
}

func compareStepRefs(a, b workflow.StepRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// blockedByGang reports whether the step is held back for a gang of another step.
func (p *candidateSet) blockedByGang(s *readyStep) bool {
	holder, held := p.gangHolds[s.job.Service]
	return held && holder != s.ref && s.step.Scavenger
}

// forgetGangs drops the waiting times of a job that has ended.
func (e *Engine) forgetGangs(job *workflow.Job) {
	maps.DeleteFunc(e.gangWaitingSince, func(ref workflow.StepRef, _ Instant) bool { return ref.Job == job.ID })
}
