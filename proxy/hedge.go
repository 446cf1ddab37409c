package proxy

import (
	"context"
	"errors"
	"time"

	"mangohill.example/mangohill/route"
)

// racedSend is the result of one send of a request that may be hedged.
type racedSend struct {
	attempt
	decision route.Decision
	cancel   context.CancelFunc
}

// sendWithHedge executes the first send of an idempotent request, and a second
// one if the first takes long and a slot is free. The first answer wins. The
// other send is not canceled, because its slot is in use until the target has
// finished.
func (e *execution) sendWithHedge(ctx context.Context, first route.Decision) attempt {
	results := make(chan *racedSend, 2)
	detachFuncs := []func() bool{e.startSend(ctx, first, false, results)}
	pending := 1
	timer := time.NewTimer(e.service.hedgeAfter())
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			pending--
			e.recordSend(r.decision, r.attempt)
			if r.delivery == answered || pending == 0 {
				e.abandonPending(results, pending, detachFuncs)
				return r.releasingContext()
			}
			r.cancel()
		case <-timer.C:
			if second, ok := e.reserveHedge(first); ok {
				detachFuncs = append(detachFuncs, e.startSend(ctx, second, true, results))
				pending++
			}
		}
	}
}

// releasingContext returns the attempt and arranges that its context is
// canceled once the answer has been read.
func (r *racedSend) releasingContext() attempt {
	if r.unread == nil {
		r.cancel()
		return r.attempt
	}
	finish := r.finish
	r.finish = func(result route.SendResult) {
		finish(result)
		r.cancel()
	}
	return r.attempt
}

// reserveHedge reserves a slot for a second send, preferably on another target.
func (e *execution) reserveHedge(first route.Decision) (route.Decision, bool) {
	s := e.service
	again := e.request
	again.Avoid = append(again.Avoid[:len(again.Avoid):len(again.Avoid)], first.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Hedge(s.proxy.options.Now(), again)
}

// startSend sends in a goroutine of its own. The send is canceled when the
// caller disconnects, unless detach was called before.
func (e *execution) startSend(ctx context.Context, d route.Decision, hedge bool, results chan<- *racedSend) (detach func() bool) {
	s := e.service
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.call.deadline)
	detach = context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	earlierSends := 0
	if hedge {
		earlierSends = 1
		count(s.proxy.options.Metrics.Hedges)
	}
	s.proxy.active.Add(1)
	go func() {
		defer s.proxy.active.Done()
		r := &racedSend{decision: d, cancel: cancel, attempt: s.send(sendCtx, e.call, d, earlierSends)}
		if hedge {
			s.endHedge()
		}
		results <- r
	}()
	return detach
}

// abandonPending detaches the remaining sends from the caller and lets them
// finish by themselves.
func (e *execution) abandonPending(results <-chan *racedSend, pending int, detachFuncs []func() bool) {
	if pending == 0 {
		return
	}
	for _, detach := range detachFuncs {
		detach()
	}
	for range pending {
		e.sends++
		count(e.service.proxy.options.Metrics.Sends)
	}
	go func() {
		for range pending {
			r := <-results
			if r.unread != nil {
				r.unread.Close()
				r.finish(route.Abandoned)
			}
			r.cancel()
		}
	}()
}
