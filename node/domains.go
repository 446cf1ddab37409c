package node

import (
	"context"
	"maps"
	"slices"

	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// showDomains adds the targets that this entry host knows to the leader's rows.
func (x *executor) showDomains(ctx context.Context, id string, where []command.Condition) (controlapi.CommandReply, error) {
	args := controlapi.CommandArgs{ID: id, Text: "show " + string(command.TopicDomains)}
	reply, err := controlapi.Call[controlapi.CommandReply](ctx, x.entry.leader, "Control.Command", &args)
	if err != nil {
		return controlapi.CommandReply{}, err
	}
	if reply.Outcome != kind.OutcomeDone {
		return *reply, nil
	}
	return x.filterRows(id, addTargets(reply.Rows, x.entry.targets.Targets()), where)
}

// addTargets adds the columns targets and requests_in_flight to the rows of the failure
// domains, and rows for domains that only targets have.
func addTargets(rows []controlapi.Row, targets []types.Target) []controlapi.Row {
	type load struct{ targets, inFlight int64 }
	loads := make(map[string]load)
	for _, t := range targets {
		if t.State == types.TargetWithdrawn {
			continue
		}
		l := loads[t.FailureDomain]
		loads[t.FailureDomain] = load{targets: l.targets + 1, inFlight: l.inFlight + int64(t.InFlight)}
	}
	columns := func(domain string) []controlapi.Field {
		return []controlapi.Field{{Name: "targets", Value: loads[domain].targets}, {Name: "requests_in_flight", Value: loads[domain].inFlight}}
	}
	out := make([]controlapi.Row, 0, len(rows))
	for _, row := range rows {
		domain, _ := row[0].Value.(string)
		out = append(out, append(slices.Clone(row), columns(domain)...))
		delete(loads, domain)
	}
	for _, domain := range slices.Sorted(maps.Keys(loads)) {
		row := controlapi.Row{
			{Name: controlapi.ColumnDomain, Value: domain}, {Name: "state", Value: controlapi.DomainInService}, {Name: "since", Value: ""},
			{Name: "workers", Value: int64(0)}, {Name: "tasks", Value: int64(0)},
		}
		out = append(out, append(row, columns(domain)...))
	}
	return out
}
