package proxy

import (
	"context"
	"errors"
	"time"

	"mangohill.example/mangohill/route"
)

// raced is one send of a request that may be hedged.
type raced struct {
	attempt
	decision route.Decision
	cancel   context.CancelFunc
}

// race carries out the first send of an idempotent request, and a second one if
// it takes long and a slot is free. The first answer counts. The other send is
// not cut off: its slot is in use until the target has ended it.
func (e *execution) race(ctx context.Context, first route.Decision) attempt {
	results := make(chan *raced, 2)
	links := []func() bool{e.launch(ctx, first, false, results)}
	pending := 1
	timer := time.NewTimer(e.service.hedgeAfter())
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			pending--
			e.note(r.decision, r.attempt)
			if r.fate == answered || pending == 0 {
				e.leave(results, pending, links)
				return r.ended()
			}
			r.cancel()
		case <-timer.C:
			if second, ok := e.hedge(first); ok {
				links = append(links, e.launch(ctx, second, true, results))
				pending++
			}
		}
	}
}

// ended returns the attempt, with its context released at the end of the answer.
func (r *raced) ended() attempt {
	if r.rest == nil {
		r.cancel()
		return r.attempt
	}
	finish := r.finish
	r.finish = func(v route.SendResult) {
		finish(v)
		r.cancel()
	}
	return r.attempt
}

// hedge asks for a slot for a second send, on another target if there is one.
func (e *execution) hedge(first route.Decision) (route.Decision, bool) {
	s := e.service
	again := e.request
	again.Avoid = append(again.Avoid[:len(again.Avoid):len(again.Avoid)], first.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Hedge(s.proxy.options.Now(), again)
}

// launch sends beside the goroutine of the request. The send ends when the
// caller goes away, until cut is called.
func (e *execution) launch(ctx context.Context, d route.Decision, hedge bool, results chan<- *raced) (cut func() bool) {
	s := e.service
	run, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.call.deadline)
	cut = context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	earlier := 0
	if hedge {
		earlier = 1
		count(s.proxy.options.Metrics.Hedges)
	}
	s.proxy.active.Add(1)
	go func() {
		defer s.proxy.active.Done()
		r := &raced{decision: d, cancel: cancel, attempt: s.send(run, e.call, d, earlier)}
		if hedge {
			s.endHedge()
		}
		results <- r
	}()
	return cut
}

// leave lets the sends that are not needed any more end by themselves.
func (e *execution) leave(results <-chan *raced, pending int, links []func() bool) {
	if pending == 0 {
		return
	}
	for _, cut := range links {
		cut()
	}
	for range pending {
		e.sends++
		count(e.service.proxy.options.Metrics.Sends)
	}
	go func() {
		for range pending {
			r := <-results
			if r.rest != nil {
				r.rest.Close()
				r.finish(route.Abandoned)
			}
			r.cancel()
		}
	}()
}
