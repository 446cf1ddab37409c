package state

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/kind"
)

// MaxConfigBytes limits the text of the configuration.
const MaxConfigBytes = 1 << 20

const (
	// defaultLeaseDurationMs is the lease duration in types.DefaultConfigText.
	defaultLeaseDurationMs = 10_000
	// maxLeaseDurations limits the lease durations that LongestLease considers: those
	// of the newest configurations.
	maxLeaseDurations = 8
)

func (op SetConfig) apply(s *Store) Result {
	if len(op.Text) > MaxConfigBytes {
		return refuse(kind.BadConfig, "configuration of %d bytes exceeds %d", len(op.Text), MaxConfigBytes)
	}
	if op.IfVersion != 0 && op.IfVersion != s.configVersion {
		r := refuse(kind.VersionConflict, "version %d is not the current one: version %d is in force", op.IfVersion, s.configVersion)
		r.Version = s.configVersion
		return r
	}
	s.configVersion++
	s.configText = op.Text
	s.addLeaseDuration(op.LeaseMs)
	s.changes.config = true
	s.record(EventConfigSet, fmt.Sprintf("version %d", s.configVersion), "")
	return Result{Version: s.configVersion}
}

func (s *Store) addLeaseDuration(ms int64) {
	s.leaseDurationsMs = append(s.leaseDurationsMs, ms)
	if len(s.leaseDurationsMs) > maxLeaseDurations {
		s.leaseDurationsMs = s.leaseDurationsMs[1:]
	}
}

// LongestLease returns the longest lease duration of the current configuration and
// of the recent ones under which unexpired leases may have been granted.
func (s *Store) LongestLease() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return time.Duration(slices.Max(s.leaseDurationsMs)) * time.Millisecond
}
