package schedule

import (
	"fmt"
	"strings"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// maxExamples bounds the hosts recorded for each filter, maxBest the scored hosts.
	maxExamples = 2
	maxBest     = 4
)

// outcome is the result of a placement decision.
type outcome uint8

const (
	undecided outcome = iota
	placed
	waitsForHost
	waitsForQuota
	waitsForPreemption
	waitsForReservation
	cannotFinishInTime
	parked
)

// decision records the last placement decision on a task, in a fixed size.
type decision struct {
	at       time.Time
	outcome  outcome
	worker   types.WorkerID
	ruledOut [maxFilters]int32 // number of hosts rejected, by filter
	examples [maxFilters][maxExamples]types.WorkerID
	feasible int32              // number of hosts that passed the filters
	best     [maxBest]hostScore // highest score first
}

// hostScore is the score of a host with the weighted part of each scorer.
type hostScore struct {
	worker types.WorkerID
	total  float32
	parts  [maxScorers]float32
}

func (d *decision) reset(now time.Time) { *d = decision{at: now} }

func (d *decision) ruleOut(filter int, w types.WorkerID) {
	n := d.ruledOut[filter]
	if n < maxExamples {
		d.examples[filter][n] = w
	}
	d.ruledOut[filter] = n + 1
}

// keepBest inserts a score into the best ones.
func (d *decision) keepBest(w types.WorkerID, total float32, parts [maxScorers]float32) {
	d.feasible++
	r := hostScore{w, total, parts}
	for i := range min(int(d.feasible), maxBest) {
		if i == int(d.feasible)-1 || r.total > d.best[i].total {
			r, d.best[i] = d.best[i], r
		}
	}
}

// Explanation describes the last placement decision on a task and its past events.
type Explanation struct {
	Task     types.TaskID
	Name     string
	State    types.TaskState
	At       time.Time
	Outcome  string
	RuledOut []RuledOut
	Feasible []ScoredHost // the best hosts that passed the filters, highest score first
	Events   []Event      // throttles, evictions and the like, oldest first
}

// RuledOut counts the hosts that a filter rejected, with a few examples.
type RuledOut struct {
	Filter   string
	Hosts    int
	Examples []string
}

// ScoredHost is a host that passed the filters, with its scores.
type ScoredHost struct {
	Worker string
	Total  float64
	Scores []Score
}

// Score is the weighted score of one scorer.
type Score struct {
	Name  string
	Value float64
}

// Explain returns the explanation of the last decision on a task. For an unknown task
// its name is empty.
func (s *Scheduler) Explain(id types.TaskID) Explanation {
	t := s.tasks[id]
	if t == nil {
		return Explanation{Task: id, Outcome: "the scheduler does not know the task"}
	}
	d := t.lastDecision()
	e := Explanation{Task: id, Name: t.Name, State: t.State, At: d.at, Outcome: s.outcomeText(t)}
	for i, f := range s.filters {
		if d.ruledOut[i] > 0 {
			e.RuledOut = append(e.RuledOut, s.ruledOut(f, d.ruledOut[i], d.examples[i]))
		}
	}
	for i := range min(int(d.feasible), maxBest) {
		e.Feasible = append(e.Feasible, s.scoredHost(d.best[i]))
	}
	e.Events = append(e.Events, t.events...)
	return e
}

// lastDecision returns the decision on t or, while t waits behind interchangeable
// tasks, the last decision on those.
func (t *task) lastDecision() *decision {
	if t.decision.outcome == undecided && t.group != nil {
		return &t.group.search.decision
	}
	return &t.decision
}

func (s *Scheduler) ruledOut(f filter, n int32, examples [maxExamples]types.WorkerID) RuledOut {
	r := RuledOut{Filter: f.name(), Hosts: int(n)}
	for i := range min(int(n), maxExamples) {
		r.Examples = append(r.Examples, s.hostName(examples[i]))
	}
	return r
}

func (s *Scheduler) scoredHost(r hostScore) ScoredHost {
	k := ScoredHost{Worker: s.hostName(r.worker), Total: float64(r.total)}
	for i, sc := range s.scorers {
		k.Scores = append(k.Scores, Score{sc.name(), float64(r.parts[i])})
	}
	return k
}

func (s *Scheduler) hostName(id types.WorkerID) string {
	if h := s.hostByID[id]; h != nil {
		return h.worker.Name
	}
	return fmt.Sprintf("worker %d", id)
}

func (s *Scheduler) outcomeText(t *task) string {
	d := t.lastDecision()
	if t.group != nil && !t.team.allows(t.Job.Request) {
		return fmt.Sprintf("waits for the quota of team %q", t.team.name)
	}
	switch d.outcome {
	case placed:
		return "placed on " + s.hostName(d.worker)
	case waitsForHost:
		return "waits for a host that passes every filter"
	case waitsForReservation:
		return "waits for the rest of the room on a host that is held for it"
	case cannotFinishInTime:
		return s.cannotFinishText(t)
	case parked:
		return "parked: its job failed on several healthy workers"
	case waitsForPreemption:
		return "waits for batch tasks to leave the host that is kept for it"
	case waitsForQuota:
		return fmt.Sprintf("waits for the quota of team %q", t.team.name)
	}
	if !t.notBefore.IsZero() {
		return "waits for its retry at " + t.notBefore.UTC().Format(time.RFC3339)
	}
	return "not yet decided"
}

// Lines renders the explanation as text, one line for each fact.
func (e Explanation) Lines() []string {
	lines := []string{e.Outcome}
	for _, r := range e.RuledOut {
		lines = append(lines, fmt.Sprintf("filter %s ruled out %d hosts, such as %s", r.Filter, r.Hosts, strings.Join(r.Examples, ", ")))
	}
	for _, k := range e.Feasible {
		lines = append(lines, k.line())
	}
	for _, event := range e.Events {
		lines = append(lines, event.At.UTC().Format(time.RFC3339)+" "+event.Text)
	}
	return lines
}

func (k ScoredHost) line() string {
	parts := make([]string, 0, len(k.Scores))
	for _, s := range k.Scores {
		parts = append(parts, fmt.Sprintf("%s %.2f", s.Name, s.Value))
	}
	return fmt.Sprintf("host %s scored %.2f (%s)", k.Worker, k.Total, strings.Join(parts, ", "))
}
