package node

import (
	"os"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/internal/logging"
	"mangohill.example/mangohill/settings"
)

// newLogger returns the logger that the settings ask for, on standard error.
func newLogger(s *settings.Settings) zerolog.Logger {
	return logging.New(s.Log, os.Stderr, s.Name)
}
