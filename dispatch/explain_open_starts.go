package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mangohill.example/mangohill/workflow"
)

// maxExplainedOpenStarts bounds the open starts that an explanation names.
const maxExplainedOpenStarts = 4

// ExplainedOpenStart is a start without an answer that keeps a task from other workers, since
// it may be carried out late, or a run of the task that is not recorded.
type ExplainedOpenStart struct {
	// Task is the index of the task.
	Task uint32
	// Worker, BornMs and Address tell the earliest incarnation to which it was sent. Attempt is
	// its number, zero for one of an earlier leader.
	Worker  string
	BornMs  int64
	Address string
	Attempt uint32 `json:",omitempty"`
	// SentAgoMs is the time since it was sent at the latest. EarlierLeader is set if others, of
	// an earlier leader or attempt, may have been sent before.
	SentAgoMs     int64
	EarlierLeader bool `json:",omitempty"`
	// Running is set if a run was seen on the worker; it is stopped.
	Running bool `json:",omitempty"`
	// EndsInMs is the time after which it holds the task no more, at the latest: a poll of the
	// worker, or another worker at the address, ends it before.
	EndsInMs int64
}

// holdsUntil returns until when an open start holds its task, which is of the step, at the latest.
func (e *Engine) holdsUntil(o *openStart, step *workflow.Step) Instant {
	if step.Lasting && !o.running {
		return o.sentBy.Add(lastingStartWait)
	}
	return o.leaseOver(e.settings.MaxLease)
}

// explainOpenStart describes an open start of a task of the step.
func (e *Engine) explainOpenStart(o *openStart, step *workflow.Step) ExplainedOpenStart {
	return ExplainedOpenStart{
		Task: o.ref.Index, Worker: o.life.Name, BornMs: o.life.BornMs, Address: o.address, Attempt: o.attempt, SentAgoMs: e.since(o.sentBy).Milliseconds(),
		EarlierLeader: o.uncounted, Running: o.running, EndsInMs: max(e.holdsUntil(o, step).Sub(e.now), 0).Milliseconds(),
	}
}

// explainOpenStarts names the open starts that keep pending tasks of the step from workers,
// those that last longest first, and those that keep placed ones with their worker.
func (e *Engine) explainOpenStarts(x *StepExplanation, s *readyStep) {
	if e.openStarts.len() == 0 {
		return
	}
	for o := range e.openStarts.all() {
		if o.ref == s.task(o.ref.Index) && e.keptWithWorker(o) {
			if x.Kept++; len(x.KeptStarts) < maxExplainedOpenStarts {
				x.KeptStarts = append(x.KeptStarts, e.explainOpenStart(o, s.step))
			}
		}
	}
	for _, i := range s.pending {
		ref := s.task(i)
		if !e.held(s.step, ref) {
			continue
		}
		x.Held++
		for o := range e.openStarts.ofTask(ref) {
			x.OpenStarts = append(x.OpenStarts, e.explainOpenStart(o, s.step))
		}
	}
	if s.step.Gang && x.Held > 0 {
		x.Held = len(s.pending)
	}
	slices.SortStableFunc(x.OpenStarts, func(a, b ExplainedOpenStart) int { return cmp.Compare(b.EndsInMs, a.EndsInMs) })
	x.OpenStarts = x.OpenStarts[:min(len(x.OpenStarts), maxExplainedOpenStarts)]
}

// dropTasksOfOpenStarts removes the tasks that open starts hold, and reports whether these are
// all, which then stay. A gang waits for all of its tasks.
func (e *Engine) dropTasksOfOpenStarts(s *readyStep) bool {
	var free []uint32
	for _, i := range s.pending {
		if !e.held(s.step, s.task(i)) {
			free = append(free, i)
		}
	}
	if len(free) == 0 || s.step.Gang && len(free) < len(s.pending) {
		return len(s.pending) > 0
	}
	s.pending = free
	return false
}

// writeKept writes the start of a task that is placed.
func (o *ExplainedOpenStart) writeKept(b *strings.Builder) {
	fmt.Fprintf(b, "    task %d stays with %s: %s and is sent again\n", o.Task, o.Worker, o.sentText())
}

func (o *ExplainedOpenStart) write(b *strings.Builder) {
	fmt.Fprintf(b, "    task %d is kept from all workers: ", o.Task)
	if o.Running {
		fmt.Fprintf(b, "%s was seen to run on %s (born_ms %d, %s) without a record and is stopped; until it has ended\n", o.attemptText(), o.Worker, o.BornMs, o.Address)
		return
	}
	fmt.Fprintf(b, "%s and may be carried out late, for %v more at the latest\n", o.sentText(), ms(o.EndsInMs))
}

func (o *ExplainedOpenStart) attemptText() string {
	if o.Attempt == 0 {
		return "a start of an earlier leader"
	}
	return fmt.Sprintf("attempt %d", o.Attempt)
}

func (o *ExplainedOpenStart) sentText() string {
	earlier := ""
	if o.EarlierLeader {
		earlier = " or earlier"
	}
	return fmt.Sprintf("%s was sent to %s (born_ms %d, %s) %v ago%s", o.attemptText(), o.Worker, o.BornMs, o.Address, ms(o.SentAgoMs), earlier)
}
