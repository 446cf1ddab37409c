package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/settings"
)

// Names of fields that lines of several packages share.
const (
	FieldRequest = "request"
	FieldCommand = "command"
	FieldProcess = "process"
	// FieldSuppressed is the number of lines of the same event that the rate limit
	// suppressed before this one.
	FieldSuppressed = "suppressed"
)

// Rate limit: at most burst lines of one event per interval.
const (
	burst    = 20
	interval = 10 * time.Second
	// maxTracked is the largest number of events with their own counter; further
	// events share one.
	maxTracked = 256
)

func init() {
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// New returns the logger of the process called name. It writes to w in the level
// and format of s; an unknown level means info.
func New(s settings.Log, w io.Writer, name string) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if s.Format == settings.FormatConsole {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano}
	}
	limiter := newLimiter(burst, interval)
	return zerolog.New(w).Level(level).With().Timestamp().Str(FieldProcess, name).Logger().Hook(hook{limiter, time.Now})
}

// hook suppresses the lines beyond the rate limit.
type hook struct {
	limiter *limiter
	now     func() time.Time
}

// Run implements zerolog.Hook.
func (h hook) Run(e *zerolog.Event, _ zerolog.Level, event string) {
	allowed, suppressed := h.limiter.allow(event, h.now())
	if !allowed {
		e.Discard()
		return
	}
	if suppressed > 0 {
		e.Int(FieldSuppressed, suppressed)
	}
}
