package workflow

import (
	"slices"

	"mangohill.example/mangohill/kind"
)

// Wave is an operator's order to maintain hosts, some at a time.
type Wave struct {
	ID    uint64   `cbor:"1,keyasint"`
	Hosts []string `cbor:"2,keyasint"`
	// Parallel is the number of hosts that may be in maintenance at a time.
	Parallel uint32 `cbor:"3,keyasint"`
	// StartedMs is when the order was recorded, DueMs when all hosts are to be
	// maintained.
	StartedMs int64 `cbor:"4,keyasint"`
	DueMs     int64 `cbor:"5,keyasint"`
	// Progress holds the hosts of which maintenance was ordered.
	Progress map[string]Maintenance `cbor:"6,keyasint,omitempty"`
}

// Maintenance is how far the maintenance of a host has come.
type Maintenance uint8

// Stages of a host's maintenance.
const (
	// MaintenanceOrdered may have begun.
	MaintenanceOrdered Maintenance = iota + 1
	// MaintenanceBegun was confirmed.
	MaintenanceBegun
	// MaintenanceEnded hosts are back, or are none of the wave's.
	MaintenanceEnded
)

// InMaintenance counts the hosts that are or may be in maintenance.
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

// Active reports whether a host of the wave is still to be maintained or to return.
func (w *Wave) Active() bool {
	return slices.ContainsFunc(w.Hosts, func(host string) bool { return w.Progress[host] < MaintenanceEnded })
}

// Validate returns an error of kind bad_request for a wave that cannot be carried out.
func (w *Wave) Validate() error {
	switch {
	case len(w.Hosts) == 0 || slices.Contains(w.Hosts, ""):
		return kind.Errorf(kind.BadRequest, "wave %d names no hosts", w.ID)
	case w.Parallel == 0:
		return kind.Errorf(kind.BadRequest, "wave %d lets no host be maintained", w.ID)
	}
	return nil
}

// StartWave records a wave.
type StartWave struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Hosts    []string
	Parallel uint32
	// WithinMs is the time from the record to the wave's deadline.
	WithinMs int64
}

// SetMaintenance records how far the maintenance of a host has come.
type SetMaintenance struct {
	_     struct{} `cbor:",toarray"`
	Wave  uint64
	Host  string
	Stage Maintenance
}

// Wave returns a wave, nil if there is none.
func (s *State) Wave(id uint64) *Wave { return s.waves[id] }

// Waves returns all waves. The map must not be changed.
func (s *State) Waves() map[uint64]*Wave { return s.waves }

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

// maintain refuses a host beyond the wave's bound, whoever planned it.
func (s *State) maintain(op *SetMaintenance) error {
	wave := s.waves[op.Wave]
	if wave == nil || !slices.Contains(wave.Hosts, op.Host) || op.Stage > MaintenanceEnded {
		return kind.Errorf(kind.NotFound, "host %q of wave %d", op.Host, op.Wave)
	}
	stage := wave.Progress[op.Host]
	if op.Stage <= stage {
		return kind.Errorf(kind.InvalidTransition, "maintenance of host %q is at stage %d", op.Host, stage)
	}
	if op.Stage == MaintenanceOrdered && wave.InMaintenance() >= wave.Parallel {
		return kind.Errorf(kind.CapacityExceeded, "%d hosts of wave %d are in maintenance", wave.Parallel, op.Wave)
	}
	wave.Progress[op.Host] = op.Stage
	return nil
}
