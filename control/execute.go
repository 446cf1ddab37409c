package control

import (
	"context"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/logging"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/operator"
	"mangohill.example/mangohill/state"
)

// execute parses and executes a command. An error means that the outcome was not
// determined here; its kind tells whether the command may have been executed.
func (l *leader) execute(ctx context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	statement, err := command.Parse(args.Text)
	if err != nil {
		return failedReply(args, err), nil
	}
	if !statement.Mutates() {
		return l.query(ctx, args, statement)
	}
	reply, err := l.mutate(ctx, args, statement)
	if err != nil {
		l.service.log.Warn().Err(err).Str(logging.FieldCommand, args.ID).Msg("command without an outcome")
		return reply, err
	}
	l.service.log.Info().Str(logging.FieldCommand, args.ID).Str("outcome", string(reply.Outcome)).Str("kind", string(reply.Kind)).
		Uint64("version", reply.Version).Msg("command executed")
	return reply, nil
}

// mutate executes a statement that changes the replicated state.
func (l *leader) mutate(ctx context.Context, args controlapi.CommandArgs, statement command.Statement) (controlapi.CommandReply, error) {
	op, err := l.opFor(statement, args)
	if err != nil {
		return failedReply(args, err), nil
	}
	results, err := l.service.propose(ctx, state.Command{
		ID:     args.ID,
		Digest: state.CommandDigest(args.Text, args.File),
		Text:   args.Text,
		Op:     op,
	})
	if err != nil {
		return controlapi.CommandReply{}, err
	}
	if err := results[0].Failure(); err != nil {
		reply := failedReply(args, err)
		reply.Version = results[0].Version
		return reply, nil
	}
	return controlapi.CommandReply{
		ID:      args.ID,
		Outcome: kind.OutcomeDone,
		Version: results[0].Version,
		Message: results[0].Message,
	}, nil
}

// failedReply returns the reply to a command that failed with err.
func failedReply(args controlapi.CommandArgs, err error) controlapi.CommandReply {
	reply := operator.ReplyOf(err)
	reply.ID = args.ID
	return reply
}

// opFor translates a mutating statement into an operation on the state.
func (l *leader) opFor(statement command.Statement, args controlapi.CommandArgs) (state.Op, error) {
	switch s := statement.(type) {
	case command.Declare:
		return state.Declare{Spec: s.Job}, nil
	case command.Cancel:
		return state.Cancel{Name: s.Name}, nil
	case command.Drain:
		return state.Drain{Worker: s.Worker}, nil
	case command.Undrain:
		return state.Drain{Worker: s.Worker, Undo: true}, nil
	case command.Evacuate:
		return state.Evacuate{Domain: s.Domain}, nil
	case command.Restore:
		return state.Evacuate{Domain: s.Domain, Undo: true}, nil
	case command.SetConfig:
		config, err := clusterconfig.Parse(args.File)
		if err != nil {
			return nil, err
		}
		return state.SetConfig{Text: args.File, IfVersion: s.Version, LeaseMs: config.Leases.Duration.Milliseconds()}, nil
	}
	return nil, kind.Errorf(kind.Internal, "statement %T has no operation", statement)
}
