package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// query answers a read-only statement. It waits for a barrier, so the state is up to
// date.
func (l *leader) query(ctx context.Context, args controlapi.CommandArgs, statement command.Statement) (controlapi.CommandReply, error) {
	if err := l.service.replica.Barrier(ctx); err != nil {
		return controlapi.CommandReply{}, err
	}
	reply := controlapi.CommandReply{ID: args.ID, Outcome: kind.OutcomeDone}
	var err error
	switch s := statement.(type) {
	case command.Show:
		reply.Rows, err = l.show(s)
	case command.Why:
		reply.Rows, err = l.why(s.Task)
	default:
		err = kind.Errorf(kind.BadRequest, "an entry host answers this command, not the control group")
	}
	if err != nil {
		return failedReply(args, err), nil
	}
	if s, ok := statement.(command.Show); ok && s.Topic == command.TopicConfig {
		reply.Version, _ = l.store.Config()
	}
	return reply, nil
}

func (l *leader) show(s command.Show) ([]controlapi.Row, error) {
	since := int64(0)
	if s.Since > 0 {
		since = l.service.now().Add(-s.Since).UnixMilli()
	}
	var rows []controlapi.Row
	switch s.Topic {
	case command.TopicTasks:
		rows = l.taskRows(since)
	case command.TopicWorkers:
		rows = l.workerRows()
	case command.TopicDomains:
		rows = l.domainRows()
	case command.TopicMembers:
		rows = memberRows(l.service.replica.Status().Members)
	case command.TopicEntries:
		rows = l.entryRows()
	case command.TopicConfig:
		rows = l.configRows()
	case command.TopicCommands:
		rows = l.commandRows(since)
	case command.TopicEvents:
		rows = l.eventRows(since)
	default:
		return nil, kind.Errorf(kind.BadRequest, "an entry host answers show %s, not the control group", s.Topic)
	}
	return command.Filter(rows, s.Where)
}

func field(name string, value any) controlapi.Field {
	return controlapi.Field{Name: name, Value: value}
}

func timeText(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339Nano) }

func (l *leader) taskRows(since int64) []controlapi.Row {
	names := make(map[types.WorkerID]string)
	for _, w := range l.store.Workers() {
		names[w.ID] = w.Name
	}
	var rows []controlapi.Row
	for _, t := range l.store.Tasks() {
		if t.ChangedMs < since {
			continue
		}
		rows = append(rows, controlapi.Row{
			field("task", t.Name),
			field("kind", string(t.Job.Kind)),
			field("class", t.Job.Class),
			field("team", t.Job.Team),
			field("state", string(t.State)),
			field("worker", names[t.Worker]),
			field("epoch", int64(t.Epoch)),
			field("reason", t.Reason),
			field("job", t.Job.Name),
			field("urgent", t.Job.Urgent),
			field("evictions", int64(t.Evictions)),
			field("failures", int64(t.Failures)),
			field("checkpoint", t.Checkpoint),
			field("changed", timeText(t.ChangedMs)),
		})
	}
	return rows
}

func (l *leader) workerRows() []controlapi.Row {
	var rows []controlapi.Row
	workers := l.store.Workers()
	slices.SortFunc(workers, func(a, b types.Worker) int { return cmp.Compare(a.Name, b.Name) })
	for _, w := range workers {
		rows = append(rows, controlapi.Row{
			field("worker", w.Name),
			field("state", string(w.State)),
			field("failure_domain", w.FailureDomain),
			field("rack", w.Rack),
			field("processors_committed", w.Committed.Processors()),
			field("processors", w.Capacity.Processors()),
			field("memory_committed_bytes", w.Committed.MemoryBytes),
			field("memory_bytes", w.Capacity.MemoryBytes),
			field("accelerators_committed", w.Committed.Accelerators),
			field("accelerators", w.Capacity.Accelerators),
			field("incarnation", int64(w.Incarnation)),
			field("reason", w.Reason),
		})
	}
	return rows
}

// domainRows returns the failure domains of the workers and those that are evacuated, by
// name. Entry hosts add the targets there.
func (l *leader) domainRows() []controlapi.Row {
	type load struct{ workers, tasks int64 }
	domains := make(map[string]load)
	domainOf := make(map[types.WorkerID]string)
	for _, w := range l.store.Workers() {
		domainOf[w.ID] = w.FailureDomain
		d := domains[w.FailureDomain]
		if w.State != types.WorkerLost {
			d.workers++
		}
		domains[w.FailureDomain] = d
	}
	for _, t := range l.store.Tasks() {
		if domain, placed := domainOf[t.Worker]; placed {
			d := domains[domain]
			d.tasks++
			domains[domain] = d
		}
	}
	since := make(map[string]int64)
	for _, e := range l.store.Evacuations() {
		since[e.Domain] = e.SinceMs
		if _, ok := domains[e.Domain]; !ok {
			domains[e.Domain] = load{} // Its workers were removed.
		}
	}
	var rows []controlapi.Row
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		state, sinceText := controlapi.DomainInService, ""
		if ms, ok := since[name]; ok {
			state, sinceText = controlapi.DomainEvacuated, timeText(ms)
		}
		rows = append(rows, controlapi.Row{
			field(controlapi.ColumnDomain, name),
			field("state", state),
			field("since", sinceText),
			field("workers", domains[name].workers),
			field("tasks", domains[name].tasks),
		})
	}
	return rows
}

func memberRows(members []controlapi.Member) []controlapi.Row {
	rows := make([]controlapi.Row, 0, len(members))
	for _, m := range members {
		rows = append(rows, controlapi.Row{field("name", m.Name), field("address", m.Address), field("role", m.Role), field("member", m.ID)})
	}
	return rows
}

func (l *leader) entryRows() []controlapi.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.service.now()
	var rows []controlapi.Row
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		state := "live"
		if now.Sub(e.lastExchangeAt) > entrySilentAfter {
			state = "silent"
		}
		rows = append(rows, controlapi.Row{
			field("name", name),
			field("state", state),
			field("config_version", int64(e.configVersion)),
		})
	}
	return rows
}

func (l *leader) configRows() []controlapi.Row {
	version, text := l.store.Config()
	return []controlapi.Row{{field("version", int64(version)), field("config", text)}}
}

func (l *leader) commandRows(since int64) []controlapi.Row {
	var rows []controlapi.Row
	for _, o := range l.store.Outcomes() {
		if o.AtMs < since {
			continue
		}
		outcome := kind.OutcomeDone
		if o.Kind != "" {
			outcome = kind.OutcomeRefused
		}
		rows = append(rows, controlapi.Row{
			field("id", o.ID),
			field("at", timeText(o.AtMs)),
			field("command", o.Text),
			field("outcome", string(outcome)),
			field("kind", string(o.Kind)),
			field("version", int64(o.Version)),
			field("message", o.Message),
		})
	}
	return rows
}

func (l *leader) eventRows(since int64) []controlapi.Row {
	var rows []controlapi.Row
	for _, e := range l.store.Events(since) {
		rows = append(rows, controlapi.Row{
			field("at", timeText(e.AtMs)),
			field("event", string(e.Name)),
			field("subject", e.Subject),
			field("detail", e.Detail),
		})
	}
	return rows
}

// why returns the recorded reasons for the state of a task, or of all tasks of a job.
func (l *leader) why(name string) ([]controlapi.Row, error) {
	tasks := l.store.JobTasks(name)
	if t, ok := l.store.TaskNamed(name); ok {
		tasks = []types.Task{t}
	}
	if len(tasks) == 0 {
		return nil, kind.Errorf(kind.NotFound, "job or task %q does not exist", name)
	}
	slices.SortFunc(tasks, func(a, b types.Task) int { return cmp.Compare(a.ID, b.ID) })
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []controlapi.Row
	for _, t := range tasks {
		rows = append(rows, l.whyTask(t)...)
	}
	return rows, nil
}

func (l *leader) whyTask(t types.Task) []controlapi.Row {
	line := func(text string) controlapi.Row {
		return controlapi.Row{field("task", t.Name), field("state", string(t.State)), field("why", text)}
	}
	var rows []controlapi.Row
	if t.Reason != "" {
		rows = append(rows, line(t.Reason))
	}
	if t.State.Terminal() || t.State == types.TaskParked {
		rows = append(rows, line(fmt.Sprintf("%s after %d attempts", t.State, t.Epoch)))
		for _, text := range l.explanations.lines(t.ID) {
			rows = append(rows, line("last start: "+text))
		}
		return rows
	}
	explanation := l.planner.Explain(t.ID)
	if t.State.Placed() && explanation.At.IsZero() {
		w, _ := l.store.Worker(t.Worker)
		return append(rows, line("runs on "+w.Name+" by the decision of an earlier leader, whose scores are gone"))
	}
	for _, text := range explanation.Lines() {
		rows = append(rows, line(text))
	}
	return rows
}
