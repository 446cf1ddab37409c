package fake

import (
	"encoding/json"
	"strconv"
	"time"

	"mangohill.example/mangohill/workerapi"
)

// Work is the payload of a simulated task.
type Work struct {
	// RunMs is the run time in milliseconds; at zero the task runs until it is
	// stopped.
	RunMs int64 `json:"run_ms"`
	// Fail makes the attempt fail at the end of its run time.
	Fail bool `json:"fail"`
}

// attempt is one simulated execution of a task.
type attempt struct {
	command   workerapi.Command
	work      Work
	startedAt time.Time
	resumedMs int64 // progress at the checkpoint from which the attempt resumed
	throttled bool
	timer     *time.Timer
}

func newAttempt(command workerapi.Command) *attempt {
	a := &attempt{command: command, startedAt: time.Now()}
	_ = json.Unmarshal(command.Payload, &a.work) // A task with any other payload runs until it is stopped.
	a.resumedMs, _ = strconv.ParseInt(command.ResumeFrom, 10, 64)
	return a
}

func (a *attempt) elapsedMs() int64 { return a.resumedMs + time.Since(a.startedAt).Milliseconds() }

// remaining returns the time until the attempt ends by itself, and false if it runs
// until it is stopped.
func (a *attempt) remaining() (time.Duration, bool) {
	if a.work.RunMs <= 0 {
		return 0, false
	}
	return time.Duration(max(a.work.RunMs-a.resumedMs, 0)) * time.Millisecond, true
}

func (a *attempt) status() workerapi.TaskStatus {
	state := workerapi.AttemptRunning
	if a.throttled {
		state = workerapi.AttemptThrottled
	}
	return workerapi.TaskStatus{Task: a.command.Task, Epoch: a.command.Epoch, State: state}
}

// checkpoint returns the progress in milliseconds as the checkpoint string from
// which newAttempt resumes.
func (a *attempt) checkpoint() string { return strconv.FormatInt(a.elapsedMs(), 10) }

// usage returns a usage sample taken takenMs milliseconds after the start of the worker.
func (a *attempt) usage(takenMs int64) workerapi.UsageSample {
	sample := workerapi.UsageSample{
		Task:        a.command.Task,
		Epoch:       a.command.Epoch,
		TakenMs:     takenMs,
		Processors:  a.command.Processors,
		MemoryBytes: a.command.MemoryBytes,
	}
	if a.work.RunMs > 0 {
		sample.Progress = min(float64(a.elapsedMs())/float64(a.work.RunMs), 1)
	}
	return sample
}
