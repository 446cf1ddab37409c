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

// Exchange renews leases of an entry host's workers and is its long poll for commands.
func (e *endpoint) Exchange(args *controlapi.ExchangeArgs, reply *controlapi.ExchangeReply) error {
	l, err := e.service.currentLeader()
	if err != nil {
		return err
	}
	return l.exchange(context.Background(), args, reply)
}

// Report records workers' registrations, state changes of attempts and usage.
func (e *endpoint) Report(args *controlapi.ReportArgs, reply *controlapi.ReportReply) error {
	l, err := e.service.currentLeader()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	return l.report(ctx, args, reply)
}

// Claim claims the idempotency key of a non-idempotent request.
func (e *endpoint) Claim(args *controlapi.ClaimArgs, reply *controlapi.ClaimReply) error {
	if args.Key == "" || args.Token == "" {
		return kind.Errorf(kind.BadRequest, "claim for service %q lacks the key or the token", args.Service)
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

// Resolve records the result of a claimed request.
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
	l, err := e.service.currentLeader()
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

// Status returns this process's view of itself and the group. It doesn't need a leader.
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

// Config returns the configuration in force. Only the leader answers, after a barrier.
func (e *endpoint) Config(_ *controlapi.ConfigArgs, reply *controlapi.ConfigReply) error {
	if _, err := e.service.currentLeader(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	if err := e.service.replica.Barrier(ctx); err != nil {
		return err
	}
	reply.Version, reply.Text, reply.Evacuated = e.service.store.ConfigAndEvacuations()
	return nil
}

func (e *endpoint) proposeOne(op state.Op) (state.Result, error) {
	if _, err := e.service.currentLeader(); err != nil {
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
