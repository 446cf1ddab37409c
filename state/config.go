package state

import (
	"fmt"
	"slices"
	"time"

	"mangohill.example/mangohill/kind"
)

// MaxConfigBytes bounds the text of the configuration, in bytes.
const MaxConfigBytes = 1 << 20

const (
	// defaultLeaseMs is the duration of leases under types.DefaultConfigText.
	defaultLeaseMs = 10_000
	// keptLeases is the number of configurations whose lease durations count.
	keptLeases = 8
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
	s.keepLease(op.LeaseMs)
	s.changes.config = true
	s.record(EventConfigSet, fmt.Sprintf("version %d", s.configVersion), "")
	return Result{Version: s.configVersion}
}

func (s *Store) keepLease(ms int64) {
	s.leasesMs = append(s.leasesMs, ms)
	if len(s.leasesMs) > keptLeases {
		s.leasesMs = s.leasesMs[1:]
	}
}

// LongestLease returns the longest lease that may have been granted under the
// newest configurations.
func (s *Store) LongestLease() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return time.Duration(slices.Max(s.leasesMs)) * time.Millisecond
}
