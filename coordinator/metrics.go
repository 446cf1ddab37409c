package coordinator

import (
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/dispatch"
	"mangohill.example/mangohill/internal/latency"
)

// metrics are the counters and histograms of a member.
type metrics struct {
	commit   *latency.Histogram
	calls    *latency.Histogram
	callWait *latency.Histogram
	tickLag  *latency.Histogram
	orders   map[dispatch.Verb]*latency.Histogram
	outcomes *expvar.Map
	// sendWait and promptSendWait are how long orders wait until they are sent, answerWait
	// how long answers wait for the loop.
	sendWait, promptSendWait, answerWait *latency.Histogram
	// stages and promptStages hold how long each stage takes, of all tasks and of those with
	// a short objective.
	stages, promptStages [dispatch.StageCount]*latency.Histogram
	// loopTime is the time that each duty of the loop took, in microseconds.
	loopTime [dutyCount]*expvar.Int
	// expiredCalls counts the calls that were dropped since nobody waited for them.
	expiredCalls *expvar.Int
	// largestBatch is the size of the largest batch that this member proposed, in bytes.
	// dropped counts the engines that it dropped, by reason.
	largestBatch *expvar.Int
	dropped      *expvar.Map
	// committedAt is when the latest batch was committed, proposedAt when the one in progress was
	// proposed, and tickedAt the latest tick of the loop.
	committedAt, proposedAt, tickedAt moment
	// engine holds the newest published statistics of the engine.
	engine atomic.Pointer[engineStats]
}

// engineStats holds the engine's counters and the size of its state.
type engineStats struct {
	dispatch.Counters
	Term          uint64
	Jobs, Workers int
	// JobBytes is the memory of the accepted jobs by estimate, LiveHeapBytes that of all live
	// objects as measured. HeldOccurrences is the number of occurrences that take memory of
	// their own, NextDueMs when the next one is due in milliseconds since the Unix epoch, zero
	// if none is known.
	JobBytes        int64
	LiveHeapBytes   int64
	HeldOccurrences int
	NextDueMs       int64
	// CancelledIDs is the number of IDs of unknown jobs that were cancelled lately.
	CancelledIDs int
	// Evacuations is the number of evacuated domains, Remaining what is recorded there.
	Evacuations int
	Remaining   dispatch.RemainingAttempts
}

func newMetrics() *metrics {
	m := &metrics{commit: latency.New(), calls: latency.New(), callWait: latency.New(), tickLag: latency.New(), orders: make(map[dispatch.Verb]*latency.Histogram), outcomes: new(expvar.Map), expiredCalls: new(expvar.Int), largestBatch: new(expvar.Int), dropped: new(expvar.Map), sendWait: latency.New(), promptSendWait: latency.New(), answerWait: latency.New()}
	for s := range m.stages {
		m.stages[s], m.promptStages[s] = latency.New(), latency.New()
	}
	for d := range m.loopTime {
		m.loopTime[d] = new(expvar.Int)
	}
	for _, verb := range []dispatch.Verb{dispatch.Poll, dispatch.Start, dispatch.Stop, dispatch.Throttle} {
		m.orders[verb] = latency.New()
	}
	return m
}

// Publish adds the member's metrics to vars.
func (c *Coordinator) Publish(vars *expvar.Map) {
	m := c.metrics
	vars.Set("commit_latency", m.commit)
	vars.Set("call_latency", m.calls)
	vars.Set("call_wait", m.callWait)
	vars.Set("tick_lag", m.tickLag)
	vars.Set("expired_calls", m.expiredCalls)
	vars.Set("largest_batch_bytes", m.largestBatch)
	vars.Set("engines_dropped", m.dropped)
	for verb, histogram := range m.orders {
		vars.Set("order_latency_"+verb.String(), histogram)
	}
	vars.Set("order_outcomes", m.outcomes)
	vars.Set("send_wait", m.sendWait)
	vars.Set("prompt_send_wait", m.promptSendWait)
	vars.Set("answer_wait", m.answerWait)
	for s := range dispatch.StageCount {
		vars.Set("stage_"+s.String(), m.stages[s])
		vars.Set("prompt_stage_"+s.String(), m.promptStages[s])
	}
	loopTime := new(expvar.Map)
	for d, name := range dutyNames {
		loopTime.Set(name, m.loopTime[d])
	}
	vars.Set("loop_time_us", loopTime)
	vars.Set("consensus", expvar.Func(func() any { return c.consensusStats() }))
	vars.Set("replica", expvar.Func(func() any { return c.replica.Status() }))
	vars.Set("decided", expvar.Func(func() any { return m.engine.Load() }))
}

// recordBatch records the size of a proposed batch in bytes. Only the loop calls it.
func (m *metrics) recordBatch(bytes int) {
	m.largestBatch.Set(max(m.largestBatch.Value(), int64(bytes)))
}

// countOutcome counts an order by its verb and outcome.
func (m *metrics) countOutcome(a *dispatch.Answer) {
	m.outcomes.Add(fmt.Sprintf("%s_%s", a.Order.Verb, a.Outcome), 1)
}

// recordStage records how long a stage of a job or task took.
func (m *metrics) recordStage(stage dispatch.Stage, prompt bool, took time.Duration) {
	m.stages[stage].Record(took)
	if prompt {
		m.promptStages[stage].Record(took)
	}
}

// recordAnswer records how long an order waited for its sender and its answer for the loop.
func (m *metrics) recordAnswer(a *dispatch.Answer, now dispatch.Instant) {
	if a.LeftAt != 0 {
		m.sendWait.Record(a.LeftAt.Sub(a.Order.SentAt))
		if a.Order.Prompt {
			m.promptSendWait.Record(a.LeftAt.Sub(a.Order.SentAt))
		}
	}
	if a.ReadAt != 0 {
		m.answerWait.Record(now.Sub(a.ReadAt))
	}
}
