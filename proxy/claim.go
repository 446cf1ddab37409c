package proxy

import (
	"context"
	"time"

	"github.com/google/uuid"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

const (
	// resolveTimeout limits the wait for one write of a claim's outcome before
	// the caller is answered; if it fails, up to backgroundResolveTries more
	// are made in the background.
	resolveTimeout         = time.Second
	backgroundResolveTries = 5
)

// claim is a granted claim of an idempotency key.
type claim struct {
	proxy   *Proxy
	service string
	key     string
	token   string
}

// claim claims the key of a call. It returns nil, nil if the call needs no
// claim; a non-nil result answers the call without a send.
func (p *Proxy) claim(ctx context.Context, c *call) (*claim, *result) {
	if c.key == "" || c.hopped {
		return nil, nil
	}
	if p.options.Claimer == nil {
		return nil, claimRefusal(kind.Errorf(kind.NoQuorum, "keys cannot be claimed on this entry host"))
	}
	count(p.options.Metrics.Claims)
	granted := &claim{proxy: p, service: c.service, key: c.key, token: uuid.NewString()}
	reply, err := p.options.Claimer.Claim(ctx, controlapi.ClaimArgs{
		Service: c.service, Key: c.key, Token: granted.token, Digest: c.digest(),
	})
	if err != nil {
		granted.release()
		return nil, claimRefusal(kind.Errorf(kind.NoQuorum, "claim of key %q: %w", c.key, err))
	}
	switch reply.State {
	case controlapi.ClaimGranted:
		return granted, nil
	case controlapi.ClaimMismatch:
		return nil, claimRefusal(kind.Errorf(kind.CommandReused, "key %q belongs to another request", c.key))
	case controlapi.ClaimResolved:
		if reply.Result.Kept {
			stored := resultFromStored(reply.Result)
			return nil, &stored
		}
	case controlapi.ClaimHeld:
	}
	return nil, claimRefusal(kind.Errorf(kind.AlreadyClaimed, "key %q is already claimed", c.key))
}

func claimRefusal(err *kind.Error) *result {
	return &result{attempt: attempt{err: err}, outcome: err.Kind.Answer().Outcome, retryDelay: defaultRetryAfter}
}

// release resolves a claim as not run, in the background. It is used for calls
// that were not sent because the answer to the claim was lost: the claim may
// have been granted.
func (l *claim) release() {
	l.proxy.active.Add(1)
	go func() {
		defer l.proxy.active.Done()
		l.resolveWithRetries(controlapi.ClaimResult{Outcome: string(kind.OutcomeNotRun)})
	}()
}

// resolve records the outcome of a claimed call. It waits for the write, so
// that a resend after the answer finds the outcome, but at most for
// resolveTimeout.
func (l *claim) resolve(r controlapi.ClaimResult) {
	if l == nil {
		return
	}
	if l.resolveOnce(r) == nil {
		return
	}
	l.proxy.active.Add(1)
	go func() {
		defer l.proxy.active.Done()
		l.resolveWithRetries(r)
	}()
}

func (l *claim) resolveOnce(r controlapi.ClaimResult) error {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	return l.proxy.options.Claimer.Resolve(ctx, controlapi.ResolveArgs{
		Service: l.service, Key: l.key, Token: l.token, Result: r,
	})
}

func (l *claim) resolveWithRetries(r controlapi.ClaimResult) {
	for range backgroundResolveTries {
		if l.resolveOnce(r) == nil {
			return
		}
		time.Sleep(resolveTimeout / backgroundResolveTries)
	}
	l.proxy.options.Logger.Warn().Str("service", l.service).Str("key", l.key).Msg("end of a claimed request not recorded")
}
