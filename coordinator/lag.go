package coordinator

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// lagWindow is the time that one report on the loop covers.
	lagWindow = time.Second
	// behindAfter is the lag from which on a window is logged.
	behindAfter = 200 * time.Millisecond
)

// lag measures how far the leader is behind its input, over one window. Its fields are
// the largest values of the window.
type lag struct {
	startedAt time.Time
	// tick is by how much the loop's ticker was late, callWait how long a call waited
	// for the loop, round how long the loop took to pass what waited to the engine and to
	// execute its decisions, and commit how long a batch took.
	tick, callWait, round, commit time.Duration
	// calls and answers are the numbers that waited for the loop.
	calls, answers int
}

// worst returns the largest of the measured durations.
func (g *lag) worst() time.Duration { return max(g.tick, g.callWait, g.round, g.commit) }

// recordQueues records the number of waiting calls and answers.
func (g *lag) recordQueues(calls, answers int) {
	g.calls, g.answers = max(g.calls, calls), max(g.answers, answers)
}

// report logs the window if the leader was behind in it, and starts the next one. It
// does nothing within a window.
func (g *lag) report(now time.Time, term uint64, log zerolog.Logger) {
	if now.Sub(g.startedAt) < lagWindow {
		return
	}
	if g.worst() >= behindAfter {
		log.Info().Dur("tick", g.tick).Dur("call_wait", g.callWait).Dur("round", g.round).Dur("commit", g.commit).
			Int("calls", g.calls).Int("answers", g.answers).Uint64("term", term).Msg("leader behind")
	}
	*g = lag{startedAt: now}
}
