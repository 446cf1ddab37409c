package dispatch

import (
	"mangohill.example/mangohill/workflow"
)

// relief is what is done on a worker for the serving tasks there.
type relief struct{}

const (
	// servingLoad is the share of its request that a serving task is assumed to
	// use, in percent.
	servingLoad = 60
	// scavengerShare is the share of its request that must be unused before a
	// scavenger is started, in percent.
	scavengerShare = 70
)

// idleProcessors estimates the processors that nothing uses, in thousandths.
func (e *Engine) idleProcessors(v *view) int64 {
	idle := v.worker.Capacity.MilliProcessors
	for ref, a := range v.attempts {
		job := e.state.Job(ref.Job)
		if job == nil {
			continue
		}
		step := &job.Spec.Steps[ref.Step]
		use := step.Resources.MilliProcessors
		switch {
		case step.Lasting:
			use = use * servingLoad / 100
		case step.Scavenger:
			use = use * int64(a.share) / fullShare
		}
		idle -= use
	}
	return idle
}

// scavengerRoom is what must be unused for a task of the step, in thousandths of
// a processor.
func scavengerRoom(step *workflow.Step) int64 {
	return step.Resources.MilliProcessors * scavengerShare / 100
}

// shareAtStart is the share of its speed at which a task begins.
func (e *Engine) shareAtStart(*view, *workflow.Step) int { return fullShare }

// relieve reacts to the latency readings of a worker.
func (e *Engine) relieve(*view) {}

func (e *Engine) throttleAnswered(*view, *Answer) {}

// learn takes in how an attempt ended.
func (e *Engine) learn(*view, *EndedAttempt, *attempt) {}
