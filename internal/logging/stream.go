package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// streamBurst and streamInterval bound the lines of one event: some hundred
	// decisions of a kind a second are explained one by one, a flood is counted.
	streamBurst    = 4000
	streamInterval = 10 * time.Second
	// streamBuffer is the number of lines that wait for a slow reader.
	streamBuffer = 4096
	streamPoll   = 20 * time.Millisecond
)

// Dropped counts the lines that a slow reader of a stream has cost.
var Dropped atomic.Int64

// NewStream returns a logger that never waits for w: lines beyond a bounded buffer
// are dropped and counted. flush writes what waits.
func NewStream(w io.Writer, name string) (log zerolog.Logger, flush func()) {
	writer := diode.NewWriter(w, streamBuffer, streamPoll, func(missed int) { Dropped.Add(int64(missed)) })
	limited := hook{newLimiter(streamBurst, streamInterval), time.Now}
	log = zerolog.New(writer).Level(zerolog.InfoLevel).With().Timestamp().Str(FieldProcess, name).Logger().Hook(limited)
	return log, func() { _ = writer.Close() } // Nothing can be logged any more.
}
