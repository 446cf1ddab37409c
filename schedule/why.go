package schedule

import (
	"fmt"
	"strings"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	maxExamples = 2
	maxKept     = 4
)

type outcome uint8

const (
	undecided outcome = iota
	placed
	waitsForHost
	waitsForQuota
	waitsForPreemption
	waitsForHold
	waitsInVain
	parked
)

// decision records the last placement decision on a task, in a fixed size.
type decision struct {
	at       time.Time
	outcome  outcome
	worker   types.WorkerID
	ruledOut [maxFilters]int32
	examples [maxFilters][maxExamples]types.WorkerID
	kept     int32
	best     [maxKept]rating
}

type rating struct {
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

// keep inserts a rating into the best ones.
func (d *decision) keep(w types.WorkerID, total float32, parts [maxScorers]float32) {
	d.kept++
	r := rating{w, total, parts}
	for i := range min(int(d.kept), maxKept) {
		if i == int(d.kept)-1 || r.total > d.best[i].total {
			r, d.best[i] = d.best[i], r
		}
	}
}

// Explanation tells why a task is where it is.
type Explanation struct {
	Task     types.TaskID
	Name     string
	State    types.TaskState
	At       time.Time
	Outcome  string
	RuledOut []RuledOut
	Feasible []ScoredHost
	Events   []Event // throttles, evictions and the like, oldest first
}

// RuledOut counts the hosts that a filter ruled out, with a few examples.
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

// Score is the weighted part of one scorer.
type Score struct {
	Name  string
	Value float64
}

// Explain explains the last decision on a task. The explanation of an unknown task
// has an empty name.
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
	for i := range min(int(d.kept), maxKept) {
		e.Feasible = append(e.Feasible, s.kept(d.best[i]))
	}
	e.Events = append(e.Events, t.events...)
	return e
}

// lastDecision returns the decision on t or, while t waits behind tasks like it,
// the last one on them.
func (t *task) lastDecision() *decision {
	if t.decision.outcome == undecided && t.group != nil {
		return &t.group.fit.decision
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

func (s *Scheduler) kept(r rating) ScoredHost {
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
	case waitsForHold:
		return "waits for the rest of the room on a host that is held for it"
	case waitsInVain:
		return s.tooLateText(t)
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

// Lines renders the explanation in plain words, one line a fact.
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
