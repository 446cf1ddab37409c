package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// streamBurst and streamInterval limit the lines of one event to 4,000 a second
	// on average, so that each decision on hundreds of workers is logged. Lines beyond
	// the limit are only counted.
	streamBurst    = 40_000
	streamInterval = 10 * time.Second
	// streamBuffer is the number of lines buffered for a slow reader.
	streamBuffer = 4096
	// streamPoll is the interval at which the buffer is written out.
	streamPoll = 20 * time.Millisecond
)

// Dropped counts the lines dropped from all streams because their readers were too
// slow.
var Dropped atomic.Int64

// NewStream returns a logger that never blocks on w: if its bounded buffer is full,
// lines are dropped and counted. flush writes the buffered lines and closes the
// stream.
func NewStream(w io.Writer, name string) (log zerolog.Logger, flush func()) {
	blocks := &blockWriter{w: w}
	writer := diode.NewWriter(blocks, streamBuffer, streamPoll, func(missed int) { Dropped.Add(int64(missed)) })
	limited := hook{newLimiter(streamBurst, streamInterval), time.Now}
	log = zerolog.New(writer).Level(zerolog.InfoLevel).With().Timestamp().Str(FieldProcess, name).Logger().Hook(limited)
	return log, func() { _ = writer.Close() } // The stream is closed, so the error cannot be logged.
}
