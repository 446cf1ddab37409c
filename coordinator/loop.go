package coordinator

import (
	"context"
	"time"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/workflow"
)

// loop owns the engine of the present term.
type loop struct {
	*Coordinator
	engine *dispatch.Engine
	term   uint64
	// waiting are the calls that the engine has not answered.
	waiting map[uint64]func(Result, error)
	next    uint64
}

// maxTurn bounds the events that are taken before the engine decides on them.
const maxTurn = 512

func (c *Coordinator) run() {
	defer c.group.Done()
	l := &loop{Coordinator: c, waiting: make(map[uint64]func(Result, error))}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			l.resign("stop")
			return
		case change := <-c.replica.Leadership():
			l.changeLeadership(change)
		case e := <-c.events:
			l.advance()
			l.take(e)
		case a := <-c.answers:
			l.advance()
			l.answered(&a)
		case a := <-c.advice:
			l.advance()
			if l.engine != nil && a.Question.Fence == l.term {
				l.engine.HandleAdvice(&a)
			}
		case a := <-c.hosts:
			l.advance()
			if l.engine != nil && a.Order.Fence == l.term {
				l.engine.HandleHostAnswer(&a)
			}
		case done := <-c.commits:
			l.advance()
			l.committed(done)
		case <-ticker.C:
			if l.engine != nil {
				l.engine.Tick(l.instant(), time.Now().UnixMilli())
				l.publish()
			}
		}
		l.takeWaiting()
		l.act()
	}
}

func (l *loop) publish() {
	state := l.engine.State()
	l.metrics.decided.Store(&decided{Counters: l.engine.Counters(), Term: l.term, Jobs: len(state.Jobs()), Workers: len(state.Workers())})
}

func (l *loop) instant() dispatch.Instant { return dispatch.Instant(boottime.Nanoseconds()) }

func (l *loop) advance() {
	if l.engine != nil {
		l.engine.Advance(l.instant(), time.Now().UnixMilli())
	}
}

// takeWaiting takes what else has arrived, so that one batch serves all.
func (l *loop) takeWaiting() {
	for range maxTurn {
		select {
		case e := <-l.events:
			l.take(e)
		case a := <-l.answers:
			l.answered(&a)
		default:
			return
		}
	}
}

func (l *loop) changeLeadership(change replica.Leadership) {
	if l.engine != nil && (!change.Leading || change.Term != l.term) {
		l.resign("leadership_lost")
	}
	if !change.Leading || l.engine != nil {
		return
	}
	l.lead(change.Term)
}

func (l *loop) lead(term uint64) {
	state, err := l.store.Copy()
	if err != nil {
		l.options.Logger.Error().Err(err).Uint64("term", term).Msg("state not copied")
		return
	}
	l.term = term
	l.engine = dispatch.New(l.options.Dispatch, l.options.Logger, term, state, l.instant())
	l.serving.Store(true)
	l.options.Logger.Info().Uint64("term", term).Int("jobs", len(state.Jobs())).Int("workers", len(state.Workers())).Msg("leading")
}

// resign throws the engine away. Its calls may or may not have been carried out.
func (l *loop) resign(reason string) {
	if l.engine == nil {
		return
	}
	l.serving.Store(false)
	l.engine = nil
	l.options.Logger.Info().Uint64("term", l.term).Int("unanswered", len(l.waiting)).Str("reason", reason).Msg("not leading")
	for _, done := range l.waiting {
		done(Result{}, kind.Errorf(kind.UnknownOutcome, "the leadership ended"))
	}
	clear(l.waiting)
}

func (l *loop) answered(a *dispatch.Answer) {
	l.metrics.orderDone(a)
	if l.engine == nil || a.Order.Fence != l.term {
		return
	}
	if !l.engine.HandleAnswer(a) {
		l.resign("fenced")
	}
}

func (l *loop) committed(done commit) {
	if l.engine == nil || done.term != l.term {
		return
	}
	if done.err != nil {
		l.options.Logger.Warn().Err(done.err).Uint64("term", done.term).Msg("batch not committed")
		l.resign("batch_not_committed")
		return
	}
	for _, err := range done.result.([]error) {
		if err != nil {
			l.options.Logger.Error().Err(err).Uint64("term", done.term).Msg("state diverged")
			l.resign("state_diverged")
			l.lead(done.term)
			return
		}
	}
	l.engine.Committed()
}

// act hands out what the engine decided.
func (l *loop) act() {
	if l.engine == nil {
		return
	}
	if batch := l.engine.TakeBatch(); batch != nil {
		l.propose(batch)
	}
	for _, order := range l.engine.TakeOrders() {
		l.send(order)
	}
	if question := l.engine.TakeQuestion(); question != nil {
		l.consult(question)
	}
	for _, order := range l.engine.TakeHostOrders() {
		l.sendHost(order)
	}
}

// sendHost carries out an order to the pool of hosts. A leader that is not
// confirmed sends nothing.
func (l *loop) sendHost(order dispatch.HostOrder) {
	carryOut(l, l.hosts, func() dispatch.HostAnswer {
		if l.options.Hosts == nil || !l.confirmed() {
			return dispatch.HostAnswer{Order: order, Outcome: dispatch.HostRefused}
		}
		ctx, cancel := context.WithTimeout(l.ctx, order.Timeout())
		defer cancel()
		return l.options.Hosts.Do(ctx, &order)
	})
}

// carryOut makes a call in a goroutine of its own and hands what came of it to the
// loop.
func carryOut[T any](l *loop, to chan<- T, call func() T) {
	l.group.Go(func() {
		result := call()
		select {
		case to <- result:
		case <-l.ctx.Done():
		}
	})
}

// consult asks the advice service.
func (l *loop) consult(question *dispatch.Question) {
	carryOut(l, l.advice, func() dispatch.Advice {
		if l.options.Advisor == nil {
			return dispatch.Advice{Question: *question}
		}
		ctx, cancel := context.WithTimeout(l.ctx, question.Timeout)
		defer cancel()
		return l.options.Advisor.Advise(ctx, question)
	})
}

func (l *loop) propose(batch *workflow.Batch) {
	data, err := batch.Encode()
	if err != nil {
		l.options.Logger.Error().Err(err).Msg("batch not encoded")
		l.resign("batch_not_encoded")
		return
	}
	term := l.term
	carryOut(l, l.commits, func() commit {
		begun := time.Now()
		result, err := l.replica.Propose(l.ctx, data)
		l.metrics.commit.Record(time.Since(begun))
		return commit{term: term, result: result, err: err}
	})
}

// send carries out an order. A leader that is not confirmed sends nothing.
func (l *loop) send(order dispatch.Order) {
	carryOut(l, l.answers, func() dispatch.Answer {
		if !l.confirmed() {
			return dispatch.Answer{Order: order, Outcome: dispatch.NotSent}
		}
		ctx, cancel := context.WithTimeout(l.ctx, order.Timeout())
		defer cancel()
		begun := time.Now()
		answer := l.options.Workers.Do(ctx, &order)
		l.metrics.orders[order.Verb].Record(time.Since(begun))
		return answer
	})
}

// take hands a call to the engine.
func (l *loop) take(e event) {
	if l.engine == nil || !l.confirmed() {
		e.done(Result{}, l.notLeader())
		return
	}
	id := l.next
	l.next++
	l.waiting[id] = e.done
	done := func(r Result) {
		delete(l.waiting, id)
		r.Leader = l.options.Replica.Address
		e.done(r, nil)
	}
	switch call := e.call; {
	case call.Request != nil:
		l.engine.HandleRequest(call.Request, func(r dispatch.Reply) { done(Result{Reply: r, Err: r.Err}) })
	case call.Announce != nil:
		l.engine.Announce(call.Announce, func(err *kind.Error) { done(Result{Err: err}) })
	case call.Withdraw != nil:
		l.engine.Withdraw(call.Withdraw.Name, call.Withdraw.BornMs, func() { done(Result{}) })
	case call.SetCatalog != nil:
		l.engine.SetCatalog(call.SetCatalog, func(err *kind.Error) { done(Result{Err: err}) })
	case call.ReadCatalog:
		l.engine.ReadCatalog(func(c *workflow.Catalog) { done(Result{Catalog: c}) })
	case call.StartWave != nil:
		l.engine.StartWave(call.StartWave, func(err *kind.Error) { done(Result{Err: err}) })
	case call.WaveState != nil:
		l.engine.WaveCompleted(*call.WaveState, func(completed bool, err *kind.Error) { done(Result{WaveCompleted: completed, Err: err}) })
	default:
		done(Result{Err: kind.Errorf(kind.BadRequest, "an empty call")})
	}
}
