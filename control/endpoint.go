package control

import (
	"context"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/state"
)

// endpoint is the net/rpc receiver "Control".
type endpoint struct {
	service *Service
}

// Exchange is the long poll of an entry host.
func (e *endpoint) Exchange(args *controlapi.ExchangeArgs, reply *controlapi.ExchangeReply) error {
	l, err := e.service.current()
	if err != nil {
		return err
	}
	return l.exchange(context.Background(), args, reply)
}

// Report takes in workers' registrations, changes of attempts and usage.
func (e *endpoint) Report(args *controlapi.ReportArgs, reply *controlapi.ReportReply) error {
	l, err := e.service.current()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	return l.report(ctx, args, reply)
}

// Claim claims the key of a non-idempotent request.
func (e *endpoint) Claim(args *controlapi.ClaimArgs, reply *controlapi.ClaimReply) error {
	if args.Key == "" || args.Token == "" {
		return kind.Errorf(kind.BadRequest, "claim for service %q without key or token", args.Service)
	}
	op := state.Claim{
		Key:    state.ClaimKeyOf(args.Service, args.Key),
		Digest: args.Digest,
		Token:  state.ClaimTokenOf(args.Token),
	}
	result, err := e.proposeOne(op)
	if err != nil {
		return err
	}
	*reply = result.Claim
	return nil
}

// Resolve records the end of a claimed request.
func (e *endpoint) Resolve(args *controlapi.ResolveArgs, _ *controlapi.ResolveReply) error {
	op := state.Resolve{
		Key:    state.ClaimKeyOf(args.Service, args.Key),
		Token:  state.ClaimTokenOf(args.Token),
		Result: args.Result,
	}
	_, err := e.proposeOne(op)
	return err
}

// Command executes an operator's command.
func (e *endpoint) Command(args *controlapi.CommandArgs, reply *controlapi.CommandReply) error {
	l, err := e.service.current()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	answer, err := l.execute(ctx, *args)
	if err != nil {
		return err
	}
	*reply = answer
	return nil
}

// Status describes this process and the group as it sees it, leader or not.
func (e *endpoint) Status(_ *controlapi.StatusArgs, reply *controlapi.StatusReply) error {
	status := e.service.replica.Status()
	version, _ := e.service.store.Config()
	*reply = controlapi.StatusReply{
		Name:          status.Name,
		Role:          status.Role,
		Leader:        status.Leader,
		Term:          status.Term,
		CommitIndex:   status.Commit,
		ConfigVersion: version,
		Members:       status.Members,
	}
	return nil
}

// Config returns the configuration in force, read through the leader.
func (e *endpoint) Config(_ *controlapi.ConfigArgs, reply *controlapi.ConfigReply) error {
	if _, err := e.service.current(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	if err := e.service.replica.Barrier(ctx); err != nil {
		return err
	}
	reply.Version, reply.Text = e.service.store.Config()
	return nil
}

func (e *endpoint) proposeOne(op state.Op) (state.Result, error) {
	if _, err := e.service.current(); err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	results, err := e.service.propose(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return results[0], results[0].Failure()
}
