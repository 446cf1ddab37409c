package node

import (
	"context"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

const (
	// exchangeExtraTime is the time that an exchange may take beyond the time for which
	// the leader may hold it.
	exchangeExtraTime = time.Second
	// claimTimeout bounds a claim whose caller set no shorter deadline.
	claimTimeout = 5 * time.Second
)

// leaderCaller makes the calls of package workersync to the leader.
type leaderCaller struct{ client *controlapi.LeaderClient }

// Call implements workersync.Caller.
func (l leaderCaller) Call(ctx context.Context, method string, args, reply any) error {
	switch out := reply.(type) {
	case *controlapi.ExchangeReply:
		hold := time.Duration(args.(*controlapi.ExchangeArgs).HoldMs) * time.Millisecond
		answer, err := controlapi.CallWithAttemptTimeout[controlapi.ExchangeReply](ctx, l.client, hold+exchangeExtraTime, method, args)
		return copyReply(out, answer, err)
	case *controlapi.ReportReply:
		answer, err := controlapi.Call[controlapi.ReportReply](ctx, l.client, method, args)
		return copyReply(out, answer, err)
	default:
		return kind.Errorf(kind.Internal, "method %s: unsupported reply type %T", method, reply)
	}
}

func copyReply[T any](out, answer *T, err error) error {
	if err == nil {
		*out = *answer
	}
	return err
}

// claimer claims and resolves idempotency keys at the leader.
type claimer struct{ client *controlapi.LeaderClient }

// Claim implements proxy.Claimer.
func (c claimer) Claim(ctx context.Context, args controlapi.ClaimArgs) (controlapi.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := controlapi.Call[controlapi.ClaimReply](ctx, c.client, "Control.Claim", &args)
	if err != nil {
		return controlapi.ClaimReply{}, err
	}
	return *reply, nil
}

// Resolve implements proxy.Claimer.
func (c claimer) Resolve(ctx context.Context, args controlapi.ResolveArgs) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := controlapi.Call[controlapi.ResolveReply](ctx, c.client, "Control.Resolve", &args)
	return err
}
