package dispatch

import (
	"maps"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// maxQuestionWorkers bounds the workers in one question. The platform's
	// rules include one question about thirty workers in the time allowed for a
	// job.
	maxQuestionWorkers = 30
	// ticketMargin is the remaining validity that a ticket needs to be used:
	// enough for a commit, the start and one retry of it.
	ticketMargin = 500 * time.Millisecond
	// adviceRetryDelay is the pause after a question without an answer.
	adviceRetryDelay = 150 * time.Millisecond
	// adviceQueueTime is added to the answer time that the service states, since
	// questions queue there.
	adviceQueueTime = 2 * time.Second
)

// Question asks the advice service which of the named workers may run a step.
// Fence is the leader's term, which the answer must still match.
type Question struct {
	Step    workflow.StepRef
	Workers []string
	Timeout time.Duration
	Fence   uint64
}

// Advice is the answer to a Question. Answered is false if the service did not
// decide.
type Advice struct {
	Question Question
	Answered bool
	// Tickets holds the tickets by the names of the workers that may run the
	// step.
	Tickets map[string]string
	// ValidFor is how long the tickets are valid, zero if the answer did not say.
	ValidFor time.Duration
}

// ticket permits the tasks of one step on one incarnation of a worker.
type ticket struct {
	value string
	until Instant
	// validFor is the validity at the time of the answer.
	validFor time.Duration
}

// stepTickets is what the advice service has answered about a step.
type stepTickets struct {
	tickets map[workflow.WorkerID]ticket
	// refused holds the workers that may not run the step; this answer does not
	// change.
	refused map[workflow.WorkerID]bool
}

// advisor asks the advice service one question at a time: the service accepts no
// more from one machine.
type advisor struct {
	steps          map[workflow.StepRef]*stepTickets
	inFlight       bool
	nextQuestionAt Instant
	question       *Question
	// othersFirst is set after a question ahead; see prepareQuestionAhead.
	othersFirst bool
}

func newAdvisor() advisor { return advisor{steps: make(map[workflow.StepRef]*stepTickets)} }

func (a *advisor) ticketsOf(ref workflow.StepRef) *stepTickets {
	p := a.steps[ref]
	if p == nil {
		p = &stepTickets{tickets: make(map[workflow.WorkerID]ticket), refused: make(map[workflow.WorkerID]bool)}
		a.steps[ref] = p
	}
	return p
}

// TakeQuestion returns and clears the pending question, nil if there is none.
func (e *Engine) TakeQuestion() *Question {
	q := e.advisor.question
	e.advisor.question = nil
	return q
}

// hasTicket reports whether the step needs no ticket, or has one for the worker
// that is valid for long enough.
func (e *Engine) hasTicket(c *candidate, s *readyStep) bool {
	if !s.job.Advised {
		return true
	}
	return e.advisor.ticketsOf(s.ref).tickets[c.view.worker.ID].usable(e.now)
}

// usable reports whether the ticket is valid for long enough for a start. The zero ticket is not.
func (t ticket) usable(now Instant) bool { return t.until > now.Add(ticketMargin) }

// prepareQuestion prepares a question about a step that lacks workers. It names
// the workers with room for the step that have neither a ticket nor a refusal.
func (e *Engine) prepareQuestion(p *candidateSet, s *readyStep) {
	if !s.job.Advised || e.advisor.inFlight || e.now < e.advisor.nextQuestionAt {
		return
	}
	known := e.advisor.ticketsOf(s.ref)
	var names []string
	for _, c := range p.byService[s.job.Service] {
		id := c.view.worker.ID
		if known.refused[id] || known.tickets[id].usable(e.now) || !e.fits(c, s) {
			continue
		}
		names = append(names, c.view.worker.Life.Name)
		if len(names) == maxQuestionWorkers {
			break
		}
	}
	if len(names) > 0 {
		e.ask(s, names)
	}
}

// ask prepares a question about the named workers.
func (e *Engine) ask(s *readyStep, names []string) {
	e.advisor.inFlight = true
	answerTime := time.Duration(s.job.AdviceBaseMs+s.job.AdviceEachMs*int64(len(names))) * time.Millisecond
	e.advisor.question = &Question{Step: s.ref, Workers: names, Timeout: answerTime + adviceQueueTime, Fence: e.term}
}

// HandleAdvice processes the answer to a question.
func (e *Engine) HandleAdvice(a *Advice) {
	e.advisor.inFlight = false
	e.log.Info().Stringer("step", a.Question.Step).Bool("answered", a.Answered).Int("asked", len(a.Question.Workers)).Int("permitted", len(a.Tickets)).Uint64("term", e.term).Msg("advice taken")
	if !a.Answered {
		e.advisor.nextQuestionAt = e.now.Add(adviceRetryDelay)
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
	known := e.advisor.ticketsOf(a.Question.Step)
	for _, name := range a.Question.Workers {
		w := e.state.WorkerNamed(name)
		if w == nil {
			continue
		}
		if value, ok := a.Tickets[name]; ok {
			known.tickets[w.ID] = ticket{value: value, until: e.now.Add(valid), validFor: valid}
		} else {
			known.refused[w.ID] = true
		}
	}
}

// ticketFor returns the ticket for a start, empty if the queue needs none.
func (e *Engine) ticketFor(job *workflow.Job, ref workflow.TaskRef, v *workerView) string {
	if !job.Advised {
		return ""
	}
	return e.advisor.ticketsOf(ref.StepRef()).tickets[v.worker.ID].value
}

// forgetTicket drops a ticket that a worker did not accept.
func (e *Engine) forgetTicket(v *workerView, ref workflow.TaskRef) {
	if p := e.advisor.steps[ref.StepRef()]; p != nil {
		delete(p.tickets, v.worker.ID)
	}
}

// forgetAdvice drops the tickets and refusals of a job that has ended.
func (e *Engine) forgetAdvice(job *workflow.Job) {
	if !job.Advised {
		return
	}
	maps.DeleteFunc(e.advisor.steps, func(ref workflow.StepRef, _ *stepTickets) bool { return ref.Job == job.ID })
}
