package command

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"mangohill.example/mangohill/types"
)

// Upper bounds of declared values.
const (
	maxReplicas     = 4096
	maxAccelerators = 1_000_000
	maxPayloadBytes = 16 << 10
	// maxDuration bounds the declared run time and latency objective.
	maxDuration = 10 * 365 * 24 * time.Hour
)

// attribute is one attribute of a declaration. It applies to the listed kinds of
// job; a nil list stands for every kind.
type attribute struct {
	name  string
	kinds []types.TaskKind
	help  string
	read  func(p *parser, job *types.JobSpec) error
}

var (
	onlyService = []types.TaskKind{types.KindService}
	onlyBatch   = []types.TaskKind{types.KindBatch}
)

// attributes returns every attribute. It is a function, so that the read functions
// and the parser may refer to each other without an initialization cycle.
func attributes() []attribute {
	return []attribute{
		{"team", nil, "NAME: the team whose quota it counts against", readTeam},
		{"class", nil, "NAME: tasks of one class behave alike; sizes, times and interference are learned by class", readClass},
		{"replicas", onlyService, "N: how many tasks run", readReplicas},
		{"processors", nil, "N: processors for each task, such as 4 or 0.5", readProcessors},
		{"memory", nil, "SIZE: memory for each task, such as 8GiB", readMemory},
		{"accelerators", nil, "N: accelerators for each task", readAccelerators},
		{"objective", onlyService, "p99 DURATION: the latency that 99% of the requests keep", readObjective},
		{"expected", []types.TaskKind{types.KindBatch, types.KindWatcher}, "DURATION: how long it probably runs", readExpected},
		{"urgent", nil, "is placed before other work", readUrgent},
		{"deadline", onlyBatch, "TIME: when it must be done, such as 2026-12-24T18:00:00Z", readDeadline},
		{"payload", nil, "JSON: passed to the worker, in quotes", readPayload},
	}
}

// attributesOf returns the attributes that apply to a kind of job.
func attributesOf(kind types.TaskKind) []attribute {
	var list []attribute
	for _, a := range attributes() {
		if a.kinds == nil || slices.Contains(a.kinds, kind) {
			list = append(list, a)
		}
	}
	return list
}

func (p *parser) declare() (Statement, error) {
	kinds := []string{string(types.KindService), string(types.KindBatch), string(types.KindWatcher)}
	kindWord := p.peek()
	if kindWord.rule != ruleWord || !slices.Contains(kinds, kindWord.text) {
		return nil, p.expectedWord(kinds...)
	}
	p.advance()
	job := types.JobSpec{Kind: types.TaskKind(kindWord.text), Replicas: 1}
	name, err := p.jobName("the name of the " + kindWord.text)
	if err != nil {
		return nil, err
	}
	job.Name = name
	if !p.peek().isPunct("{") {
		return nil, expectedAt(p.peek(), `"{" and the attributes`, "{")
	}
	p.advance()
	if err := p.block(&job); err != nil {
		return nil, err
	}
	return Declare{Job: job}, nil
}

// block parses the attributes of a job up to the closing brace.
func (p *parser) block(job *types.JobSpec) error {
	allowed := attributesOf(job.Kind)
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, a.name)
	}
	seen := make(map[string]bool)
	for !p.peek().isPunct("}") {
		t := p.peek()
		index := slices.Index(names, t.text)
		if t.rule != ruleWord || index < 0 {
			what := fmt.Sprintf("an attribute of a %s (%s) or \"}\"", job.Kind, oneOf(names))
			return expectedAt(t, what, names...)
		}
		if seen[t.text] {
			return p.expected(fmt.Sprintf("attribute %q only once", t.text))
		}
		seen[t.text] = true
		p.advance()
		if err := allowed[index].read(p, job); err != nil {
			return err
		}
	}
	for _, required := range []string{"processors", "memory"} {
		if !seen[required] {
			return p.expected(fmt.Sprintf("attribute %q, which is required,", required))
		}
	}
	p.advance()
	return nil
}

// jobName parses a name of letters, digits, '-', '_' and '.'.
func (p *parser) jobName(what string) (string, error) {
	t := p.peek()
	if t.rule != ruleWord || types.CheckName(t.text) != nil {
		return "", p.expected(fmt.Sprintf("%s of letters, digits, '-', '_' and '.', at most %d", what, types.MaxNameBytes))
	}
	return p.advance().text, nil
}

func (p *parser) int(what string, minimum, maximum int64) (int64, error) {
	t := p.peek()
	number, err := strconv.ParseInt(t.text, 10, 64)
	if t.rule != ruleWord || err != nil || number < minimum || number > maximum {
		return 0, p.expected(fmt.Sprintf("%s from %d to %d", what, minimum, maximum))
	}
	p.advance()
	return number, nil
}

func (p *parser) boundedDuration() (time.Duration, error) {
	t := p.peek()
	duration, err := p.duration()
	if err != nil {
		return 0, err
	}
	if duration < time.Millisecond || duration > maxDuration {
		return 0, expectedAt(t, fmt.Sprintf("a duration from 1ms to %s", maxDuration))
	}
	return duration, nil
}

func readTeam(p *parser, job *types.JobSpec) (err error) {
	job.Team, err = p.jobName("the name of a team")
	return err
}

func readClass(p *parser, job *types.JobSpec) (err error) {
	job.Class, err = p.jobName("the name of a class")
	return err
}

func readReplicas(p *parser, job *types.JobSpec) error {
	replicas, err := p.int("a number of replicas", 1, maxReplicas)
	job.Replicas = int(replicas)
	return err
}

func readProcessors(p *parser, job *types.JobSpec) error {
	t := p.peek()
	processors, err := types.ParseProcessors(t.text)
	if t.rule != ruleWord || err != nil || processors == 0 {
		return p.expected("a number of processors such as 4 or 0.5")
	}
	job.Request.MilliProcessors = processors
	p.advance()
	return nil
}

func readMemory(p *parser, job *types.JobSpec) error {
	t := p.peek()
	bytes, err := types.ParseSize(t.text)
	if t.rule != ruleWord || err != nil || bytes == 0 {
		return p.expected("a size such as 8GiB or 512MiB")
	}
	job.Request.MemoryBytes = bytes
	p.advance()
	return nil
}

func readAccelerators(p *parser, job *types.JobSpec) (err error) {
	job.Request.Accelerators, err = p.int("a number of accelerators", 0, maxAccelerators)
	return err
}

func readObjective(p *parser, job *types.JobSpec) error {
	if err := p.keyword("p99"); err != nil {
		return err
	}
	objective, err := p.boundedDuration()
	job.ObjectiveP99Ms = objective.Milliseconds()
	return err
}

func readExpected(p *parser, job *types.JobSpec) error {
	expected, err := p.boundedDuration()
	job.ExpectedMs = expected.Milliseconds()
	return err
}

func readUrgent(_ *parser, job *types.JobSpec) error {
	job.Urgent = true
	return nil
}

func readDeadline(p *parser, job *types.JobSpec) error {
	t := p.peek()
	deadline, err := time.Parse(time.RFC3339, t.text)
	if t.rule != ruleWord || err != nil || deadline.UnixMilli() <= 0 {
		return p.expected("a time such as 2026-12-24T18:00:00Z")
	}
	job.DeadlineMs = deadline.UnixMilli()
	p.advance()
	return nil
}

func readPayload(p *parser, job *types.JobSpec) error {
	t := p.peek()
	payload, err := p.value("a JSON document in quotes")
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes || !json.Valid([]byte(payload)) {
		return expectedAt(t, fmt.Sprintf("a JSON document in quotes, at most %d bytes", maxPayloadBytes))
	}
	job.Payload = []byte(payload)
	return nil
}
