package node

import (
	"context"
	"time"

	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/operator"
)

// commandTimeout bounds a command at an entry host. The operator's client
// resends it under the same ID.
const commandTimeout = 8 * time.Second

// executor executes operators' commands. It answers those about data that only entry
// hosts hold, and sends all others to the leader.
type executor struct{ entry *Entry }

// Execute implements operator.Executor.
func (x *executor) Execute(ctx context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	statement, err := command.Parse(args.Text)
	if err != nil {
		return operator.ReplyOf(err), nil
	}
	if show, ok := statement.(command.Show); ok {
		if rows, local := x.localRows(show.Topic); local {
			return x.filterRows(args.ID, rows, show.Where)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if show, ok := statement.(command.Show); ok && show.Topic == command.TopicDomains {
		return x.showDomains(ctx, args.ID, show.Where)
	}
	if _, ok := statement.(command.ReportBurn); ok {
		return x.entry.reportBurn(ctx, args.ID), nil
	}
	reply, err := controlapi.Call[controlapi.CommandReply](ctx, x.entry.leader, "Control.Command", &args)
	if err != nil {
		return controlapi.CommandReply{}, err
	}
	return *reply, nil
}

func (x *executor) filterRows(id string, rows []controlapi.Row, where []command.Condition) (controlapi.CommandReply, error) {
	rows, err := command.Filter(rows, where)
	if err != nil {
		return operator.ReplyOf(err), nil
	}
	return controlapi.CommandReply{ID: id, Outcome: kind.OutcomeDone, Rows: rows}, nil
}

func (x *executor) localRows(topic command.Topic) (rows []controlapi.Row, local bool) {
	switch topic {
	case command.TopicTargets:
		return x.targetRows(), true
	case command.TopicEntries:
		return x.entryRows(), true
	default:
		return nil, false
	}
}

func (x *executor) targetRows() []controlapi.Row {
	var rows []controlapi.Row
	for _, t := range x.entry.targets.Targets() {
		rows = append(rows, controlapi.Row{
			{Name: "target", Value: t.Name},
			{Name: "service", Value: t.Service},
			{Name: "state", Value: string(t.State)},
			{Name: "in_flight", Value: int64(t.InFlight)},
			{Name: "slots", Value: int64(t.Slots)},
			{Name: "failure_domain", Value: t.FailureDomain},
			{Name: "address", Value: t.Address},
		})
	}
	return rows
}

func (x *executor) entryRows() []controlapi.Row {
	ownState := "ready"
	if !x.entry.Ready() {
		ownState = "not-ready"
	}
	rows := []controlapi.Row{entryRow(x.entry.settings.Name, ownState, x.entry.config.Version(), x.entry.settings.Listen.Peers)}
	for _, peer := range x.entry.members.Peers() {
		rows = append(rows, peerRow(peer))
	}
	return rows
}

func peerRow(peer membership.Peer) controlapi.Row {
	return entryRow(peer.Name, string(peer.State), peer.ConfigVersion, peer.PeerAddress)
}

func entryRow(name, state string, version uint64, address string) controlapi.Row {
	return controlapi.Row{
		{Name: "name", Value: name},
		{Name: "state", Value: state},
		{Name: "config_version", Value: int64(version)},
		{Name: "address", Value: address},
	}
}

// Execute executes an operator's command as the operators' listener does. Errors are
// those of controlapi.Call; a malformed command is reported in the reply.
func (e *Entry) Execute(ctx context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	return (&executor{entry: e}).Execute(ctx, args)
}
