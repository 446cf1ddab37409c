package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// maintenanceOverhead is the time that the maintenance of a host takes in
	// addition to its preparation: two seconds in maintenance, the restart of
	// its worker, and the wait for the listing that shows the host as up.
	maintenanceOverhead = 3 * time.Second
	// minPreparation and maxPreparation bound how long attempts of tasks that are
	// not lasting may run on before they are stopped.
	minPreparation = 300 * time.Millisecond
	maxPreparation = 2500 * time.Millisecond
	// preparationTimeout is the time after which a host that could not be
	// prepared gets new work again: lasting tasks of the same steps on other
	// hosts may stay unavailable for long.
	preparationTimeout = 8 * time.Second
)

// prepareHost waits until all attempts on a host except those of lasting tasks
// have ended, and stops them after preparationTime. It then orders the
// maintenance, once all lasting tasks there may be interrupted together; until
// then they run on.
func (e *Engine) prepareHost(wave *workflow.Wave, name string) {
	m := &e.maintenance
	v, since := e.hostView(name), m.preparingSince[name]
	if v == nil || e.since(since) > preparationTimeout {
		delete(m.preparingSince, name)
		return
	}
	preparationTime, nonLasting := e.preparationTime(wave), 0
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if step != nil && step.Lasting && !a.stopWanted {
			continue
		}
		nonLasting++
		a.stopWanted = a.stopWanted || step != nil && e.since(since) > preparationTime
	}
	if nonLasting > 0 || wave.InMaintenance() >= wave.Parallel || !e.withinMaxUnavailable(v) {
		return
	}
	delete(m.preparingSince, name)
	m.goingDown[v.worker.Life.Name] = true
	e.recordMaintenance(wave, name, workflow.MaintenanceOrdered, "prepared")
}

// withinMaxUnavailable reports whether all lasting tasks of a worker may be
// interrupted together within the MaxUnavailable of their steps. If the worker
// has more tasks of a step than that, it stops one of them first, which then moves
// to another host.
func (e *Engine) withinMaxUnavailable(v *workerView) bool {
	here := make(map[workflow.StepRef]int32)
	for _, a := range v.attemptList {
		here[a.ref.StepRef()]++
	}
	withinLimits := true
	for _, a := range v.attemptList {
		step := e.step(a.ref)
		if step == nil || step.MaxUnavailable <= 0 {
			continue
		}
		away := e.unavailableElsewhere(v, a.ref)
		if away+here[a.ref.StepRef()] <= step.MaxUnavailable {
			continue
		}
		withinLimits = false
		if here[a.ref.StepRef()] > step.MaxUnavailable && away < step.MaxUnavailable {
			a.stopWanted, a.stopCause = true, waitsAfterMove
			return false
		}
	}
	return withinLimits
}

// unavailableElsewhere counts the unavailable tasks of a step, leaving out those
// on the worker.
func (e *Engine) unavailableElsewhere(v *workerView, ref workflow.TaskRef) int32 {
	away := int32(0)
	for i, task := range e.state.Job(ref.Job).Occurrences.Tasks(ref.Occurrence, ref.Step) {
		other := workflow.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: uint32(i)}
		if v.attempts[other] == nil && !e.available(other, &task) {
			away++
		}
	}
	return away
}

// preparationTime returns how long a host may take to be emptied for the wave to
// meet its deadline.
func (e *Engine) preparationTime(wave *workflow.Wave) time.Duration {
	remaining := 0
	for _, name := range wave.Hosts {
		if wave.Progress[name] == 0 {
			remaining++
		}
	}
	rounds := max((remaining+int(wave.Parallel)-1)/int(wave.Parallel), 1)
	timePerRound := time.Duration(wave.DueMs-e.wallMs) * time.Millisecond / time.Duration(rounds)
	return min(max(timePerRound-maintenanceOverhead, minPreparation), maxPreparation)
}

// available reports whether a lasting task does its work and nothing is about to
// stop it.
func (e *Engine) available(ref workflow.TaskRef, task *workflow.Task) bool {
	v := e.views[task.Worker]
	if task.State != workflow.TaskPlaced || v == nil || !e.reachable(v) || e.maintenance.goingDown[v.worker.Life.Name] {
		return false
	}
	a := v.attempts[ref]
	return a != nil && a.running && !a.stopWanted && a.percent >= fullShare
}
