package dispatch

import (
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// promptPollWait is how long a worker with a prompt task may hold a poll open. A lost
	// poll hides the end of the task for this time and promptAnswerTimeout.
	promptPollWait = 300 * time.Millisecond
	// promptAnswerTimeout bounds the time of the answer to a prompt order. It covers a round
	// trip between zones and one retransmission, which takes 200 ms.
	promptAnswerTimeout = 350 * time.Millisecond
)

// isPrompt reports whether a lost answer alone, with orderAnswerTimeout, would exceed what
// the objective of a job allows beside its critical path. Its orders are then repeated
// sooner. Lasting tasks have no such objective.
func isPrompt(job *workflow.Job, step *workflow.Step) bool {
	return !step.Lasting && !step.Scavenger && job.LatencyObjectiveMs > 0 && job.LatencyObjectiveMs < orderAnswerTimeout.Milliseconds()
}

func (e *Engine) isPromptTask(ref workflow.TaskRef) bool {
	job := e.state.Job(ref.Job)
	return job != nil && isPrompt(job, &job.Spec.Steps[ref.Step])
}

// runsPrompt reports whether a prompt task runs on a worker or is being started there.
func (e *Engine) runsPrompt(v *workerView) bool {
	return slices.ContainsFunc(v.attemptList, func(a *attempt) bool { return e.isPromptTask(a.ref) })
}
