package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/workflow"
)

// Stage is a part of the time between a job's submission and the record of its tasks' ends.
type Stage uint8

// Stages, in order. Run times and what passes outside of the leader are not among them.
const (
	// StageAccept lasts from the submission until its record is committed.
	StageAccept Stage = iota
	// StagePlace lasts from the time when a task may be started until it is placed.
	StagePlace
	// StageCommit lasts until the placement is committed.
	StageCommit
	// StageSend lasts until the start is sent.
	StageSend
	// StageAnswer lasts until the start is answered.
	StageAnswer
	// StageRecord lasts from the answer that lists the end of an attempt until the end is
	// committed.
	StageRecord
	// StageCount is the number of stages.
	StageCount
)

var stageNames = [StageCount]string{
	StageAccept: "accept", StagePlace: "place", StageCommit: "commit", StageSend: "send", StageAnswer: "answer", StageRecord: "record",
}

// String returns the name of the stage.
func (s Stage) String() string { return stageNames[s] }

// StageObserver is told how long a stage took; prompt tells that it is one of a task whose
// objective is short, or of a job with such tasks.
type StageObserver func(stage Stage, prompt bool, took time.Duration)

// ObserveStages has observe called at the end of each stage.
func (e *Engine) ObserveStages(observe StageObserver) { e.observeStage = observe }

// stageTimes tells when the stages of an attempt ended, zero if they have not. Those that
// belong to the start are of the first one.
type stageTimes struct {
	waited                        time.Duration
	committedAt, leftAt, answered Instant
}

// recordStart records when the first start of an attempt was sent and answered.
func (e *Engine) recordStart(a *attempt, answer *Answer) {
	if a.stages.leftAt != 0 || answer.LeftAt == 0 {
		return
	}
	a.stages.leftAt = answer.LeftAt
	if a.stages.committedAt != 0 {
		e.observeStage(StageSend, answer.Order.Prompt, a.stages.leftAt.Sub(a.stages.committedAt))
	}
	if answer.Outcome == Done {
		a.stages.answered = e.now
		e.observeStage(StageAnswer, answer.Order.Prompt, e.now.Sub(a.stages.leftAt))
	}
}

// addTo adds the stages of an attempt to a line of the log.
func (s *stageTimes) addTo(event *zerolog.Event, placedAt Instant) *zerolog.Event {
	event = event.Dur("waited", s.waited)
	if s.committedAt == 0 {
		return event
	}
	event = event.Dur("commit", s.committedAt.Sub(placedAt))
	if s.leftAt == 0 {
		return event
	}
	event = event.Dur("send", s.leftAt.Sub(s.committedAt))
	if s.answered == 0 {
		return event
	}
	return event.Dur("answer", s.answered.Sub(s.leftAt))
}

// hasPromptTasks reports whether a job has tasks with a short objective.
func hasPromptTasks(job *workflow.Job) bool {
	for i := range job.Spec.Steps {
		if isPrompt(job, &job.Spec.Steps[i]) {
			return true
		}
	}
	return false
}
