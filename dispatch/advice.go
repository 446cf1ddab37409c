package dispatch

import (
	"maps"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// maxAsked bounds the workers of one question. The platform counts one question
	// about thirty workers as part of a job's time.
	maxAsked = 30
	// ticketMargin is the remaining life that a ticket needs to be used: a commit,
	// the start and one repeat of it.
	ticketMargin = 500 * time.Millisecond
	// adviceRetry is the pause after a question that was not answered.
	adviceRetry = 150 * time.Millisecond
	// adviceSlack is added to the time that the service states for an answer,
	// which waits for its turn there.
	adviceSlack = 2 * time.Second
)

// Question asks the advice service which workers may run a step.
type Question struct {
	Step    workflow.StepRef
	Workers []string
	Timeout time.Duration
	Fence   uint64
}

// Advice answers a Question. Answered is false if the service did not decide.
type Advice struct {
	Question Question
	Answered bool
	// Tickets are by the names of the workers that may run the step.
	Tickets map[string]string
	// ValidFor is the life of the tickets, zero if the answer did not say.
	ValidFor time.Duration
}

// ticket permits the tasks of one step on one life of a worker.
type ticket struct {
	value string
	until Instant
}

// permission is what is known of the workers of an advised step.
type permission struct {
	tickets map[workflow.WorkerID]ticket
	// refused are the workers that may not run the step, which does not change.
	refused map[workflow.WorkerID]bool
}

// advisor asks one question at a time: the service takes no more from a machine.
type advisor struct {
	steps    map[workflow.StepRef]*permission
	asking   bool
	askAfter Instant
	question *Question
}

func newAdvisor() advisor { return advisor{steps: make(map[workflow.StepRef]*permission)} }

func (a *advisor) step(ref workflow.StepRef) *permission {
	p := a.steps[ref]
	if p == nil {
		p = &permission{tickets: make(map[workflow.WorkerID]ticket), refused: make(map[workflow.WorkerID]bool)}
		a.steps[ref] = p
	}
	return p
}

// TakeQuestion returns the question to be asked now, nil if there is none.
func (e *Engine) TakeQuestion() *Question {
	q := e.advisor.question
	e.advisor.question = nil
	return q
}

// permitted reports whether the step may be started on the worker now.
func (e *Engine) permitted(c *candidate, s *readyStep) bool {
	if !s.job.Advised {
		return true
	}
	t, ok := e.advisor.step(s.ref).tickets[c.view.worker.ID]
	return ok && t.until > e.now.Add(ticketMargin)
}

// ask prepares a question about a step that found too few workers.
func (e *Engine) ask(p *pool, s *readyStep) {
	if !s.job.Advised || e.advisor.asking || e.now < e.advisor.askAfter {
		return
	}
	known := e.advisor.step(s.ref)
	var names []string
	for _, c := range p.byService[s.job.Service] {
		id := c.view.worker.ID
		if t, ok := known.tickets[id]; known.refused[id] || ok && t.until > e.now.Add(ticketMargin) || !e.hasRoom(c, s) {
			continue
		}
		names = append(names, c.view.worker.Life.Name)
		if len(names) == maxAsked {
			break
		}
	}
	if len(names) == 0 {
		return
	}
	e.advisor.asking = true
	took := time.Duration(s.job.AdviceBaseMs+s.job.AdviceEachMs*int64(len(names))) * time.Millisecond
	e.advisor.question = &Question{Step: s.ref, Workers: names, Timeout: took + adviceSlack, Fence: e.fence}
}

// HandleAdvice takes the answer to a question.
func (e *Engine) HandleAdvice(a *Advice) {
	e.advisor.asking = false
	e.log.Info().Stringer("step", a.Question.Step).Bool("answered", a.Answered).Int("asked", len(a.Question.Workers)).Int("permitted", len(a.Tickets)).Uint64("term", e.fence).Msg("advice taken")
	if !a.Answered {
		e.advisor.askAfter = e.now.Add(adviceRetry)
		return
	}
	job := e.state.Job(a.Question.Step.Job)
	if job == nil {
		delete(e.advisor.steps, a.Question.Step)
		return
	}
	valid := a.ValidFor
	if valid == 0 {
		valid = time.Duration(job.AdviceValidMs) * time.Millisecond
	}
	known := e.advisor.step(a.Question.Step)
	for _, name := range a.Question.Workers {
		w := e.state.WorkerNamed(name)
		if w == nil {
			continue
		}
		if value, ok := a.Tickets[name]; ok {
			known.tickets[w.ID] = ticket{value: value, until: e.now.Add(valid)}
		} else {
			known.refused[w.ID] = true
		}
	}
}

// ticketFor returns the ticket of a start, empty if the queue needs none.
func (e *Engine) ticketFor(job *workflow.Job, ref workflow.TaskRef, v *view) string {
	if !job.Advised {
		return ""
	}
	return e.advisor.step(ref.StepRef()).tickets[v.worker.ID].value
}

// forgetTicket drops a ticket that a worker did not take.
func (e *Engine) forgetTicket(v *view, ref workflow.TaskRef) {
	if p := e.advisor.steps[ref.StepRef()]; p != nil {
		delete(p.tickets, v.worker.ID)
	}
}

// forgetAdvice drops what is known of the steps of a job that has ended.
func (e *Engine) forgetAdvice(job *workflow.Job) {
	if !job.Advised {
		return
	}
	maps.DeleteFunc(e.advisor.steps, func(ref workflow.StepRef, _ *permission) bool { return ref.Job == job.ID })
}
