package coordinator

import (
	"context"
	"runtime"
	runtimemetrics "runtime/metrics"
	"time"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/internal/boottime"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/replica"
	"mangohill.example/mangohill/workflow"
)

// loop owns the engine of the current term; engine is nil while this member doesn't
// lead.
type loop struct {
	*Coordinator
	engine *dispatch.Engine
	term   uint64
	// unanswered holds the reply functions of the calls that the engine has not
	// answered yet, by call ID.
	unanswered map[uint64]func(Result, error)
	nextCallID uint64
	lag        lag
	clock      dutyClock
	placing    pacer
	// proposedBytes is the size of the batch that was proposed last, nextOverdue for how long it
	// may have waited when it is logged next.
	proposedBytes int
	nextOverdue   time.Duration
}

// maxEventsPerRound bounds the calls and answers that are passed to the engine before
// its decisions are executed, and before other goroutines get their turn.
const maxEventsPerRound = 64

func (c *Coordinator) run() {
	defer c.goroutines.Done()
	l := &loop{Coordinator: c, unanswered: make(map[uint64]func(Result, error))}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			l.resign("stop")
			return
		case change := <-c.replica.Leadership():
			l.clock.start()
			l.changeLeadership(change)
			l.charge(commitDuty)
		case e := <-c.calls:
			l.clock.start()
			l.advanceClock()
			l.handleCall(e)
			l.charge(callDuty)
		case a := <-c.orderAnswers:
			l.clock.start()
			l.advanceClock()
			l.handleAnswer(&a)
			l.charge(answerDuty)
		case a := <-c.advice:
			l.clock.start()
			l.advanceClock()
			if l.engine != nil && a.Question.Fence == l.term {
				l.engine.HandleAdvice(&a)
			}
			l.charge(answerDuty)
		case a := <-c.hostAnswers:
			l.clock.start()
			l.advanceClock()
			if l.engine != nil && a.Order.Fence == l.term {
				l.engine.HandleHostAnswer(&a)
			}
			l.charge(answerDuty)
		case result := <-c.commits:
			l.clock.start()
			l.advanceClock()
			l.handleCommit(result)
			l.charge(commitDuty)
		case dueAt := <-ticker.C:
			l.clock.start()
			l.tick(dueAt)
			l.charge(tickDuty)
		}
		startedAt := l.clock.at
		l.drainQueues()
		l.executeDecisions()
		l.lag.rounds++
		l.lag.round = max(l.lag.round, l.clock.at.Sub(startedAt))
		// Senders and the log would otherwise wait until no event is left.
		yieldedAt := time.Now()
		runtime.Gosched()
		l.lag.yielded += time.Since(yieldedAt)
	}
}

// tick runs what is due at a tick, which was due at dueAt.
func (l *loop) tick(dueAt time.Time) {
	l.metrics.tickedAt.set()
	if l.engine == nil {
		return
	}
	l.reportOverdue()
	now := time.Now()
	l.metrics.tickLag.Record(now.Sub(dueAt))
	l.lag.tick = max(l.lag.tick, now.Sub(dueAt))
	l.lag.recordQueues(len(l.calls), len(l.orderAnswers), l.orders.len())
	l.lag.report(now, l.term, l.options.Logger)
	l.engine.SetCallLimit(l.options.Workers.CallLimit())
	l.engine.SetLiveHeap(liveHeapBytes())
	l.engine.Tick(l.now(), now.UnixMilli())
	l.publishStats()
}

// liveHeapBytes returns the memory of the objects that the latest garbage collection found live.
func liveHeapBytes() int64 {
	sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

func (l *loop) publishStats() {
	state := l.engine.State()
	evacuations, remaining := l.engine.EvacuationStats()
	l.metrics.engine.Store(&engineStats{Counters: l.engine.Counters(), Term: l.term, Jobs: len(state.Jobs()), Workers: len(state.Workers()), JobBytes: state.JobBytes(), LiveHeapBytes: liveHeapBytes(), HeldOccurrences: state.HeldOccurrences(), CancelledIDs: state.CancelledIDs(), NextDueMs: l.engine.NextDueMs(), Evacuations: evacuations, Remaining: remaining})
}

func (c *Coordinator) now() dispatch.Instant { return dispatch.Instant(boottime.Nanoseconds()) }

func (l *loop) advanceClock() {
	if l.engine != nil {
		l.engine.Advance(l.now(), time.Now().UnixMilli())
	}
}

// drainQueues passes the calls and answers that wait already to the engine, so that
// one batch covers them all.
func (l *loop) drainQueues() {
	for range maxEventsPerRound {
		select {
		case e := <-l.calls:
			l.advanceClock()
			l.handleCall(e)
			l.charge(callDuty)
		case a := <-l.orderAnswers:
			l.advanceClock()
			l.handleAnswer(&a)
			l.charge(answerDuty)
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
	l.term, l.lag = term, lag{startedAt: time.Now()}
	state, err := l.store.Copy()
	if err != nil {
		l.options.Logger.Error().Err(err).Uint64("term", term).Msg("state not copied")
		l.giveUp("state_not_copied")
		return
	}
	l.engine = dispatch.New(l.options.Dispatch, l.options.Logger, term, state, l.now())
	l.engine.SetCallLimit(l.options.Workers.CallLimit())
	l.engine.ObserveStages(l.metrics.recordStage)
	l.serving.Store(true)
	l.options.Logger.Info().Uint64("term", term).Int("jobs", len(state.Jobs())).Int("workers", len(state.Workers())).Msg("leading")
}

// resign drops the engine. Its open calls fail with kind unknown_outcome, since they
// may or may not have been executed.
func (l *loop) resign(reason string) {
	if l.engine == nil {
		return
	}
	l.serving.Store(false)
	l.engine = nil
	l.metrics.proposedAt.clear()
	l.starts.Store(nil)
	l.metrics.dropped.Add(reason, 1)
	l.options.Logger.Info().Uint64("term", l.term).Int("unanswered", len(l.unanswered)).Str("reason", reason).Msg("not leading")
	for _, done := range l.unanswered {
		done(Result{}, kind.Errorf(kind.UnknownOutcome, "the leadership ended before the call was answered"))
	}
	clear(l.unanswered)
}

// giveUp drops the engine and gives up the leadership. An engine that took over in the
// same term would not know which orders of this one may still be carried out, and its
// fencing token would not rule them out.
func (l *loop) giveUp(reason string) {
	l.resign(reason)
	term := l.term
	l.goroutines.Go(func() {
		if err := l.replica.StepDown(l.ctx, term); err != nil {
			l.options.Logger.Warn().Err(err).Uint64("term", term).Msg("leadership not given up")
		}
	})
}

func (l *loop) handleAnswer(a *dispatch.Answer) {
	l.metrics.countOutcome(a)
	if l.engine == nil || a.Order.Term != l.term {
		return
	}
	now := l.now()
	l.metrics.recordAnswer(a, now)
	l.lag.recordAnswer(a, now)
	l.engine.HandleAnswer(a)
}

func (l *loop) handleCommit(committed commitResult) {
	if l.engine == nil || committed.term != l.term {
		return
	}
	l.metrics.proposedAt.clear()
	if committed.err != nil {
		event := l.options.Logger.Warn().Err(committed.err).Uint64("term", committed.term).Int("bytes", committed.bytes)
		if committed.batch != nil {
			name, bytes := committed.batch.LargestOp()
			event = event.Int("ops", len(committed.batch.Ops)).Str("largest_op", name).Int("largest_op_bytes", bytes)
		}
		event.Msg("batch not committed")
		l.giveUp("batch_not_committed")
		return
	}
	for _, err := range committed.result.([]error) {
		if err != nil {
			l.options.Logger.Error().Err(err).Uint64("term", committed.term).Msg("state diverged")
			l.giveUp("state_diverged")
			return
		}
	}
	l.metrics.committedAt.set()
	l.lag.commit = max(l.lag.commit, committed.took)
	l.engine.Committed()
}

// executeDecisions proposes the engine's batch and sends its orders and questions.
func (l *loop) executeDecisions() {
	if l.engine == nil {
		return
	}
	l.proposeBatch()
	if l.engine == nil {
		return // The batch could not be encoded.
	}
	defer l.charge(orderDuty)
	l.permitStarts()
	for _, order := range l.orders.add(l.engine.TakeOrders()) {
		l.sendOrder(order)
	}
	for _, address := range l.engine.TakeDeparted() {
		l.options.Workers.Forget(address)
	}
	if question := l.engine.TakeQuestion(); question != nil {
		l.requestAdvice(question)
	}
	for _, order := range l.engine.TakeHostOrders() {
		l.sendHostOrder(order)
	}
}

// sendHostOrder sends an order to the host pool. A leader without recent quorum
// contact sends nothing.
func (l *loop) sendHostOrder(order dispatch.HostOrder) {
	runAsync(l.Coordinator, l.hostAnswers, func() dispatch.HostAnswer {
		if l.options.Hosts == nil || !l.quorumConfirmed() {
			return dispatch.HostAnswer{Order: order, Outcome: dispatch.HostRefused}
		}
		ctx, cancel := context.WithTimeout(l.ctx, order.Timeout())
		defer cancel()
		return l.options.Hosts.Do(ctx, &order, l.quorumConfirmed)
	})
}

// runAsync makes a call in a goroutine of its own and sends the result to the loop.
func runAsync[T any](c *Coordinator, to chan<- T, call func() T) {
	c.goroutines.Go(func() {
		result := call()
		select {
		case to <- result:
		case <-c.ctx.Done():
		}
	})
}

// requestAdvice sends a question to the advice service.
func (l *loop) requestAdvice(question *dispatch.Question) {
	runAsync(l.Coordinator, l.advice, func() dispatch.Advice {
		if l.options.Advisor == nil {
			return dispatch.Advice{Question: *question}
		}
		ctx, cancel := context.WithTimeout(l.ctx, question.Timeout)
		defer cancel()
		return l.options.Advisor.Advise(ctx, question)
	})
}

// proposeBatch places tasks, if enough time was left for other work since the last time, and
// proposes the engine's next batch, if there is one.
func (l *loop) proposeBatch() {
	if l.engine.Committing() {
		return
	}
	if l.placing.due(time.Now()) {
		l.engine.Place()
		took := l.charge(planDuty)
		l.lag.plan = max(l.lag.plan, took)
		l.placing.record(l.clock.at, took)
	}
	if batch := l.engine.TakeDecided(); batch != nil {
		l.propose(batch)
		l.charge(proposeDuty)
	}
}

func (l *loop) propose(batch *workflow.Batch) {
	data, err := batch.Encode()
	if err != nil {
		l.options.Logger.Error().Err(err).Msg("batch not encoded")
		l.giveUp("batch_not_encoded")
		return
	}
	l.metrics.recordBatch(len(data))
	l.metrics.proposedAt.set()
	l.proposedBytes, l.nextOverdue = len(data), overdueCommit
	term := l.term
	runAsync(l.Coordinator, l.commits, func() commitResult {
		startedAt := time.Now()
		result, err := l.replica.ProposeIn(l.ctx, term, data)
		took := time.Since(startedAt)
		l.metrics.commit.Record(took)
		return commitResult{term: term, result: result, err: err, took: took, batch: batch, bytes: len(data)}
	})
}

// sendOrder sends an order to its worker. A leader without recent quorum contact sends
// nothing, and an order that has waited for longer than its answer would be awaited is not
// sent: the engine decides again.
func (c *Coordinator) sendOrder(order dispatch.Order) {
	runAsync(c, c.orderAnswers, func() dispatch.Answer {
		permit := func() bool { return c.quorumConfirmed() && c.mayStart(&order) }
		if c.now().Sub(order.SentAt) > order.Timeout() || !permit() {
			return dispatch.Answer{Order: order, Outcome: dispatch.NotSent}
		}
		ctx, cancel := context.WithTimeout(c.ctx, order.Timeout())
		defer cancel()
		startedAt := time.Now()
		var leftAt dispatch.Instant
		answer := c.options.Workers.Do(ctx, &order, func() bool {
			leftAt = c.now()
			return permit()
		})
		c.metrics.orders[order.Verb].Record(time.Since(startedAt))
		answer.LeftAt, answer.ReadAt = leftAt, c.now()
		return answer
	})
}

// handleCall passes a call to the engine, unless nobody waits for its result any more. The
// deadline is compared with the clock: after a standstill the context may not have ended yet.
func (l *loop) handleCall(e pendingCall) {
	err := e.ctx.Err()
	if deadline, ok := e.ctx.Deadline(); ok && err == nil && !time.Now().Before(deadline) {
		err = context.DeadlineExceeded
	}
	if err != nil {
		l.metrics.expiredCalls.Add(1)
		e.done(Result{}, kind.Errorf(kind.UnknownOutcome, "the call waited %v for the leader's loop: %w", time.Since(e.queuedAt), err))
		return
	}
	if l.engine == nil || !l.quorumConfirmed() {
		e.done(Result{}, l.notLeader())
		return
	}
	wait := time.Since(e.queuedAt)
	l.metrics.callWait.Record(wait)
	l.lag.callWait = max(l.lag.callWait, wait)
	id := l.nextCallID
	l.nextCallID++
	l.unanswered[id] = e.done
	done := func(r Result) {
		delete(l.unanswered, id)
		e.done(r, nil)
	}
	switch call := e.call; {
	case call.Request != nil:
		l.engine.HandleRequest(call.Request, func(r dispatch.Reply) { done(Result{Reply: r, Err: r.Err}) })
	case call.Announce != nil:
		l.engine.Announce(call.Announce, func(err *kind.Error) {
			done(Result{Err: err, ReportTo: l.reportTo(call.Announce.Life.Name)})
		})
	case call.Withdraw != nil:
		l.engine.Withdraw(call.Withdraw.Name, call.Withdraw.BornMs, func() { done(Result{}) })
	case call.SetCatalog != nil:
		l.engine.SetCatalog(call.SetCatalog, func(err *kind.Error) { done(Result{Err: err}) })
	case call.ReadCatalog:
		l.engine.ReadCatalog(func(c *workflow.Catalog) { done(Result{Catalog: c.TextOnly()}) })
	case call.StartWave != nil:
		l.engine.StartWave(call.StartWave, func(err *kind.Error) { done(Result{Err: err}) })
	case call.ReadWave || call.WaveState != 0:
		l.engine.WaveCompleted(call.WaveState, func(completed bool, err *kind.Error) { done(Result{WaveCompleted: completed, Err: err}) })
	case call.SetEvacuation != nil:
		l.engine.SetEvacuation(call.SetEvacuation, func(err *kind.Error) { done(Result{Err: err}) })
	case call.ExplainPlacement != nil:
		explanation, err := l.engine.ExplainPlacement(call.ExplainPlacement)
		done(Result{Explanation: explanation, Err: err})
	default:
		done(Result{Err: kind.Errorf(kind.BadRequest, "the call sets no field")})
	}
}
