package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// youngAge is the time from the start of an attempt to the worker's last answer up to which
// the attempt is taken to be a likely cause of a crash.
const youngAge = 500 * time.Millisecond

// recordCrash records that an incarnation has ended without notice. Only another
// incarnation of the worker, or another worker at its address, proves that: one that is
// silent may be cut off. An end that was announced or ordered is no crash.
func (e *Engine) recordCrash(v *workerView, proof string) {
	if e.plannedEnd(v) {
		return
	}
	young := 0
	for _, a := range v.attemptList {
		if age, ran := e.ageAtSilence(v, a); ran && age >= 0 && age <= youngAge {
			young++
		}
	}
	e.counters.Crashed++
	e.log.Warn().Str("worker", v.worker.Life.Name).Int64("born_ms", v.worker.Life.BornMs).Str("proof", proof).Int("attempts", len(v.attempts)).Int("young", young).Dur("unheard", e.since(v.answeredAt)).Uint64("term", e.term).Msg("worker crashed")
}

// plannedEnd reports whether the end of an incarnation was announced by the worker or
// ordered from the pool of hosts. A new leader does not know yet which workers are on the
// hosts whose maintenance was ordered.
func (e *Engine) plannedEnd(v *workerView) bool {
	if v.worker.Draining || e.maintenance.goingDown[v.worker.Life.Name] {
		return true
	}
	for _, wave := range e.state.Waves() {
		for name, stage := range wave.Progress {
			host, listed := e.maintenance.hosts[name]
			if stage == workflow.MaintenanceOrdered && (!listed || host.Worker == v.worker.Life.Name) {
				return true
			}
		}
	}
	return false
}

// unknownAge is the age of an attempt that an earlier leader started.
const unknownAge = -1

// ageAtSilence returns for how long an attempt had run when its worker answered last. ran
// is false if it did certainly not run.
func (e *Engine) ageAtSilence(v *workerView, a *attempt) (age time.Duration, ran bool) {
	switch {
	case a.adopted:
		return unknownAge, true
	case a.running:
		return max(v.answeredAt.Sub(a.runningSince), 0), true
	}
	return 0, a.startCallInFlight || a.deliverableStarts > 0
}
