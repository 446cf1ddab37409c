package dispatch

import (
	"cmp"
	"maps"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// holdAfter is how long a gang waits for room before it holds back others, and
	// holdFor how long it does: the room that frees meanwhile adds up for it. A
	// scavenger takes some two seconds.
	holdAfter = 1500 * time.Millisecond
	holdFor   = 4 * time.Second
	// holdAgain is the time from one hold to the next of a gang that found no room.
	holdAgain = 12 * time.Second
)

// placeGang places all tasks of a gang or none.
func (e *Engine) placeGang(p *pool, s *readyStep) {
	if uint32(len(s.pending)) < s.step.Count {
		return // Members of an earlier run are still to end.
	}
	var chosen []*candidate
	if !p.covered(s) {
		chosen = e.chooseGang(p, s)
	}
	if len(chosen) < int(s.step.Count) {
		e.ask(p, s)
		e.noteWaiting(s)
		return
	}
	delete(e.gangs, s.ref)
	number := uint32(0)
	for _, task := range s.job.Occurrences[s.ref.Occurrence].Steps[s.ref.Step] {
		number = max(number, task.Attempt)
	}
	for i, c := range chosen {
		ref := workflow.TaskRef{Job: s.ref.Job, Occurrence: s.ref.Occurrence, Step: s.ref.Step, Index: uint32(i)}
		if !e.place(c, s, ref, number+1) {
			e.log.Error().Stringer("task", ref).Msg("gang not placed")
		}
	}
	s.pending = nil
	e.ready.touch(s.ref.Job)
}

// chooseGang returns the workers for the members, fewer if there is no room.
func (e *Engine) chooseGang(p *pool, s *readyStep) []*candidate {
	chosen := make([]*candidate, 0, s.step.Count)
	for range s.step.Count {
		c := e.choose(p, s)
		if c == nil {
			break
		}
		c.take(s)
		chosen = append(chosen, c)
	}
	for _, c := range chosen {
		c.give(s)
	}
	return chosen
}

// noteWaiting remembers since when a gang waits.
func (e *Engine) noteWaiting(s *readyStep) {
	if _, known := e.gangs[s.ref]; !known {
		e.gangs[s.ref] = e.now
	}
}

// holds returns, for each service, the gang that holds back the other scavengers:
// the one that has waited longest, of those whose turn it is.
func (e *Engine) holds() map[string]workflow.StepRef {
	holders := make(map[string]workflow.StepRef)
	for ref, since := range e.gangs {
		waited := e.since(since) % holdAgain
		job := e.state.Job(ref.Job)
		if job == nil || !job.Spec.Steps[ref.Step].Scavenger || waited < holdAfter || waited >= holdAfter+holdFor {
			continue
		}
		other, taken := holders[job.Service]
		if !taken || since < e.gangs[other] || since == e.gangs[other] && compareSteps(ref, other) < 0 {
			holders[job.Service] = ref
		}
	}
	return holders
}

func compareSteps(a, b workflow.StepRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// heldBack reports whether the step waits for a gang's turn.
func (p *pool) heldBack(s *readyStep) bool {
	holder, held := p.holders[s.job.Service]
	return held && holder != s.ref && s.step.Scavenger
}

// forgetGangs drops what is known of the steps of a job that has ended.
func (e *Engine) forgetGangs(job *workflow.Job) {
	maps.DeleteFunc(e.gangs, func(ref workflow.StepRef, _ Instant) bool { return ref.Job == job.ID })
}
