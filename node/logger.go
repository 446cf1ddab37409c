package node

import (
	"os"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/internal/logging"
	"mangohill.example/mangohill/settings"
)

// newLogger returns a logger to standard error, configured by s.Log.
func newLogger(s *settings.Settings) zerolog.Logger {
	return logging.New(s.Log, os.Stderr, s.Name)
}
