package state

import (
	"fmt"

	"mangohill.example/mangohill/kind"
)

// MaxConfigText bounds the text of the configuration, in bytes.
const MaxConfigText = 1 << 20

func (op SetConfig) apply(s *Store) Result {
	if len(op.Text) > MaxConfigText {
		return refuse(kind.BadConfig, "configuration of %d bytes exceeds %d", len(op.Text), MaxConfigText)
	}
	if op.IfVersion != 0 && op.IfVersion != s.configVersion {
		r := refuse(kind.VersionConflict, "version %d is not the current one: version %d is in force", op.IfVersion, s.configVersion)
		r.Version = s.configVersion
		return r
	}
	s.configVersion++
	s.configText = op.Text
	s.changes.config = true
	s.record(EventConfigSet, fmt.Sprintf("version %d", s.configVersion), "")
	return Result{Version: s.configVersion}
}
