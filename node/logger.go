package node

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/settings"
)

// newLogger returns the logger that the settings ask for, on standard error.
func newLogger(s *settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	var out io.Writer = os.Stderr
	if s.Log.Format == settings.FormatConsole {
		out = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.RFC3339}
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("name", s.Name).Logger()
}
