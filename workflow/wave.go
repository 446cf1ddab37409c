package workflow

import (
	"slices"

	"mangohill.example/mangohill/kind"
)

// Wave is a maintenance wave: an operator's order to maintain hosts, at most
// Parallel of them at a time.
type Wave struct {
	ID    uint64   `cbor:"1,keyasint"`
	Hosts []string `cbor:"2,keyasint"`
	// Parallel limits the hosts that are in maintenance at a time.
	Parallel uint32 `cbor:"3,keyasint"`
	// StartedMs is when the order was recorded, DueMs the deadline of the wave, both
	// in milliseconds since the Unix epoch.
	StartedMs int64 `cbor:"4,keyasint"`
	DueMs     int64 `cbor:"5,keyasint"`
	// Progress holds the stage of each host that has one; it lacks hosts whose
	// maintenance was not ordered yet.
	Progress map[string]Maintenance `cbor:"6,keyasint,omitempty"`
}

// Maintenance is the stage of a host's maintenance.
type Maintenance uint8

// Stages of a host's maintenance.
const (
	// MaintenanceOrdered: the order was sent; the maintenance may have begun.
	MaintenanceOrdered Maintenance = iota + 1
	// MaintenanceBegun: the start of the maintenance was confirmed.
	MaintenanceBegun
	// MaintenanceEnded: the host is back, or it does not belong to the wave.
	MaintenanceEnded
)

// InMaintenance returns the number of hosts that are or may be in maintenance.
func (w *Wave) InMaintenance() uint32 {
	n := uint32(0)
	for _, stage := range w.Progress {
		if stage < MaintenanceEnded {
			n++
		}
	}
	return n
}

// Completed reports whether the maintenance of all hosts has begun.
func (w *Wave) Completed() bool {
	return !slices.ContainsFunc(w.Hosts, func(host string) bool { return w.Progress[host] < MaintenanceBegun })
}

// Active reports whether the maintenance of some host has not ended.
func (w *Wave) Active() bool {
	return slices.ContainsFunc(w.Hosts, func(host string) bool { return w.Progress[host] < MaintenanceEnded })
}

// Validate returns an error of kind bad_request for a wave without hosts, with an
// empty host name or with Parallel 0.
func (w *Wave) Validate() error {
	switch {
	case len(w.Hosts) == 0 || slices.Contains(w.Hosts, ""):
		return kind.Errorf(kind.BadRequest, "wave %d has no hosts or an empty host name", w.ID)
	case w.Parallel == 0:
		return kind.Errorf(kind.BadRequest, "wave %d allows no host in maintenance at a time", w.ID)
	}
	return nil
}

// StartWave records a wave; an ID that exists already is left unchanged.
type StartWave struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Hosts    []string
	Parallel uint32
	// WithinMs is the time from recording the wave to its deadline.
	WithinMs int64
}

// SetMaintenance records the stage of a host's maintenance.
type SetMaintenance struct {
	_     struct{} `cbor:",toarray"`
	Wave  uint64
	Host  string
	Stage Maintenance
}

// Wave returns a wave, nil if there is none.
func (v *View) Wave(id uint64) *Wave { return v.waves[id] }

// Waves returns all waves. The caller must not modify the map.
func (v *View) Waves() map[uint64]*Wave { return v.waves }

func (s *State) startWave(op *StartWave) error {
	wave := &Wave{
		ID: op.ID, Hosts: slices.Compact(slices.Sorted(slices.Values(op.Hosts))), Parallel: op.Parallel,
		StartedMs: s.nowMs, DueMs: s.nowMs + op.WithinMs, Progress: make(map[string]Maintenance),
	}
	if err := wave.Validate(); err != nil {
		return err
	}
	if s.waves[op.ID] == nil {
		s.waves[op.ID] = wave
	}
	return nil
}

// setMaintenance records a stage. It checks Wave.Parallel itself, so that no
// faulty plan of a leader can exceed it.
func (s *State) setMaintenance(op *SetMaintenance) error {
	wave := s.waves[op.Wave]
	if wave == nil || !slices.Contains(wave.Hosts, op.Host) || op.Stage > MaintenanceEnded {
		return kind.Errorf(kind.NotFound, "host %q of wave %d does not exist, or the stage is unknown", op.Host, op.Wave)
	}
	stage := wave.Progress[op.Host]
	if op.Stage <= stage {
		return kind.Errorf(kind.InvalidTransition, "the maintenance of host %q is already at stage %d", op.Host, stage)
	}
	if op.Stage == MaintenanceOrdered && wave.InMaintenance() >= wave.Parallel {
		return kind.Errorf(kind.CapacityExceeded, "%d hosts of wave %d are in maintenance already", wave.Parallel, op.Wave)
	}
	wave.Progress[op.Host] = op.Stage
	return nil
}
