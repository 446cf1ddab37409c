package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// returnTime is what the maintenance of a host takes besides its preparation: two
	// seconds, the return of its worker, and the listing that shows it.
	returnTime = 3 * time.Second
	// leastPreparation and mostPreparation bound how long short tasks on a host may
	// go on before they are stopped.
	leastPreparation = 300 * time.Millisecond
	mostPreparation  = 2500 * time.Millisecond
	// preparationLimit is when a host that could not be prepared goes back to work:
	// others of its tasks that last may be away for long.
	preparationLimit = 8 * time.Second
)

// prepare lets the short tasks on a host end, and orders its maintenance once the
// tasks that last may be taken away together: until then they stay at work.
func (e *Engine) prepare(wave *workflow.Wave, name string) {
	m := &e.maintenance
	v, since := e.hostView(name), m.preparing[name]
	if v == nil || e.since(since) > preparationLimit {
		delete(m.preparing, name)
		return
	}
	patience, short := e.preparationTime(wave), 0
	for _, a := range v.list {
		step := e.step(a.ref)
		if step != nil && step.Lasting && !a.stopWanted {
			continue
		}
		short++
		a.stopWanted = a.stopWanted || step != nil && e.since(since) > patience
	}
	if short > 0 || wave.InMaintenance() >= wave.Parallel || !e.mayTakeAll(v) {
		return
	}
	delete(m.preparing, name)
	m.ending[v.worker.Life.Name] = true
	e.setMaintenance(wave, name, workflow.MaintenanceOrdered, "prepared")
}

// mayTakeAll reports whether an order may take all tasks that last of a worker away
// together. Where there are too many of one step, one of them moves first.
func (e *Engine) mayTakeAll(v *view) bool {
	here := make(map[workflow.StepRef]int32)
	for _, a := range v.list {
		here[a.ref.StepRef()]++
	}
	all := true
	for _, a := range v.list {
		step := e.step(a.ref)
		if step == nil || step.MaxUnavailable <= 0 {
			continue
		}
		away := e.away(v, a.ref)
		if away+here[a.ref.StepRef()] <= step.MaxUnavailable {
			continue
		}
		all = false
		if here[a.ref.StepRef()] > step.MaxUnavailable && away < step.MaxUnavailable {
			a.stopWanted = true
			return false
		}
	}
	return all
}

// away counts the tasks of a step that are not at work, those on the worker left out.
func (e *Engine) away(v *view, ref workflow.TaskRef) int32 {
	away := int32(0)
	for i, task := range e.state.Job(ref.Job).Occurrences[ref.Occurrence].Steps[ref.Step] {
		other := workflow.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: uint32(i)}
		if v.attempts[other] == nil && !e.atWork(other, &task) {
			away++
		}
	}
	return away
}

// preparationTime is how long a host may take to be emptied, so that the wave
// meets its deadline.
func (e *Engine) preparationTime(wave *workflow.Wave) time.Duration {
	left := 0
	for _, name := range wave.Hosts {
		if wave.Progress[name] == 0 {
			left++
		}
	}
	rounds := max((left+int(wave.Parallel)-1)/int(wave.Parallel), 1)
	each := time.Duration(wave.DueMs-e.wallMs) * time.Millisecond / time.Duration(rounds)
	return min(max(each-returnTime, leastPreparation), mostPreparation)
}

// atWork reports whether a task that lasts is at work and stays so.
func (e *Engine) atWork(ref workflow.TaskRef, task *workflow.Task) bool {
	v := e.views[task.Worker]
	if task.State != workflow.TaskPlaced || v == nil || !e.reachable(v) || e.maintenance.ending[v.worker.Life.Name] {
		return false
	}
	a := v.attempts[ref]
	return a != nil && a.running && !a.stopWanted && a.percent >= fullShare
}
