package logging

import (
	"sync"
	"time"
)

// limiter admits up to burst lines of each event per interval.
type limiter struct {
	burst    int
	interval time.Duration

	mu     sync.Mutex
	events map[string]*window
}

// window counts the lines of an event in the current interval.
type window struct {
	begin      time.Time
	admitted   int
	suppressed int
}

func newLimiter(burst int, interval time.Duration) *limiter {
	return &limiter{burst: burst, interval: interval, events: make(map[string]*window)}
}

// allow reports whether a line of the event may be written at the time now, and how
// many of its lines were suppressed since the last one that was written.
func (l *limiter) allow(event string, now time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(event, now)
	if now.Sub(w.begin) >= l.interval {
		w.begin = now
		w.admitted = 0
	}
	if w.admitted >= l.burst {
		w.suppressed++
		return false, 0
	}
	w.admitted++
	suppressed = w.suppressed
	w.suppressed = 0
	return true, suppressed
}

// window returns the window of the event. Events beyond maxTracked share one.
func (l *limiter) window(event string, now time.Time) *window {
	if w, ok := l.events[event]; ok {
		return w
	}
	if len(l.events) >= maxTracked {
		event = ""
	}
	w, ok := l.events[event]
	if !ok {
		w = &window{begin: now}
		l.events[event] = w
	}
	return w
}
