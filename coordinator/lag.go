package coordinator

import (
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/dispatch"
)

const (
	// lagWindow is the time that one report on the loop covers.
	lagWindow = time.Second
	// behindAfter is the lag from which on a window is logged.
	behindAfter = 200 * time.Millisecond
)

// duty is a part of the work of the leader's loop.
type duty uint8

const (
	callDuty duty = iota
	answerDuty
	commitDuty
	tickDuty
	planDuty
	proposeDuty
	orderDuty
	dutyCount
)

var dutyNames = [dutyCount]string{
	callDuty: "calls", answerDuty: "answers", commitDuty: "commits", tickDuty: "ticks", planDuty: "plans", proposeDuty: "proposals", orderDuty: "orders",
}

// lag measures how far the leader is behind its input, over one window. Its fields are
// the largest values of the window unless noted.
type lag struct {
	startedAt time.Time
	// tick is by how much the loop's ticker was late, callWait how long a call waited
	// for the loop, round how long the loop took to pass what waited to the engine and to
	// execute its decisions, and commit how long a batch took.
	tick, callWait, round, commit time.Duration
	// plan is how long the engine took to place tasks in one round.
	plan time.Duration
	// sendWait and promptSendWait are how long a start waited until it was sent, answerWait
	// how long an answer waited for the loop.
	sendWait, promptSendWait, answerWait time.Duration
	// calls and answers are the numbers that waited for the loop, orders that of those that
	// were not begun.
	calls, answers, orders int
	// busy is the sum of the time that each duty took, yielded that of the time that other
	// goroutines took between rounds, rounds the number of rounds.
	busy    [dutyCount]time.Duration
	yielded time.Duration
	rounds  int
}

// worst returns the largest of the delays.
func (g *lag) worst() time.Duration {
	return max(g.tick, g.callWait, g.round, g.commit, g.sendWait, g.promptSendWait, g.answerWait)
}

// recordQueues records the numbers of waiting calls, answers and orders.
func (g *lag) recordQueues(calls, answers, orders int) {
	g.calls, g.answers, g.orders = max(g.calls, calls), max(g.answers, answers), max(g.orders, orders)
}

// recordAnswer records how long an order waited for its sender and its answer for the loop.
func (g *lag) recordAnswer(a *dispatch.Answer, now dispatch.Instant) {
	if a.ReadAt != 0 {
		g.answerWait = max(g.answerWait, now.Sub(a.ReadAt))
	}
	if a.Order.Verb != dispatch.Start || a.LeftAt == 0 {
		return
	}
	wait := a.LeftAt.Sub(a.Order.SentAt)
	g.sendWait = max(g.sendWait, wait)
	if a.Order.Prompt {
		g.promptSendWait = max(g.promptSendWait, wait)
	}
}

// report logs the window if the leader was behind in it, and starts the next one. It
// does nothing within a window.
func (g *lag) report(now time.Time, term uint64, log zerolog.Logger) {
	if now.Sub(g.startedAt) < lagWindow {
		return
	}
	if g.worst() >= behindAfter {
		event := log.Info().Dur("tick", g.tick).Dur("call_wait", g.callWait).Dur("round", g.round).Dur("plan", g.plan).Dur("commit", g.commit).
			Dur("send_wait", g.sendWait).Dur("prompt_send_wait", g.promptSendWait).Dur("answer_wait", g.answerWait).
			Int("calls", g.calls).Int("answers", g.answers).Int("orders", g.orders).Int("rounds", g.rounds).Dur("yielded", g.yielded)
		busy := zerolog.Dict()
		for d, name := range dutyNames {
			busy.Dur(name, g.busy[d])
		}
		event.Dict("busy", busy).Uint64("term", term).Msg("leader behind")
	}
	*g = lag{startedAt: now}
}

// dutyClock charges the time of the loop to its duties.
type dutyClock struct{ at time.Time }

// start begins a round.
func (c *dutyClock) start() { c.at = time.Now() }

// charge charges the time since the latest charge to a duty, and returns it.
func (l *loop) charge(d duty) time.Duration {
	now := time.Now()
	took := now.Sub(l.clock.at)
	l.clock.at = now
	l.lag.busy[d] += took
	l.metrics.loopTime[d].Add(took.Microseconds())
	return took
}
