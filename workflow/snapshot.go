package workflow

import (
	"slices"

	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
)

// Versions of the snapshot format. A change that an older program would misread gets a new
// one; a snapshot has the highest one that its content needs.
const (
	snapshotVersion = 1
	// evacuationVersion is that of a snapshot with evacuations: an older program would start
	// work in the evacuated domains.
	evacuationVersion = 2
	// copyVersion is that of a snapshot with copies of tasks: an older program would make a
	// task pending while its copy runs.
	copyVersion = 3
)

type snapshot struct {
	Version     int          `cbor:"1,keyasint"`
	Catalog     *Catalog     `cbor:"2,keyasint"`
	Jobs        []*Job       `cbor:"3,keyasint"`
	Workers     []*Worker    `cbor:"4,keyasint"`
	NextWorker  WorkerID     `cbor:"5,keyasint"`
	NowMs       int64        `cbor:"6,keyasint"`
	Finished    []JobID      `cbor:"7,keyasint"`
	Waves       []*Wave      `cbor:"8,keyasint,omitempty"`
	Departed    []departure  `cbor:"9,keyasint,omitempty"`
	Evacuations []Evacuation `cbor:"10,keyasint,omitempty"`
	// A program that does not know these reads a snapshot without them.
	OpenStarts       []OpenStart       `cbor:"15,keyasint,omitempty"`
	RecentPlacements []RecentPlacement `cbor:"16,keyasint,omitempty"`
	CancelledIDs     []CancelledID     `cbor:"17,keyasint,omitempty"`
	StartAges        []StartAge        `cbor:"18,keyasint,omitempty"`
}

// Snapshot encodes the state. Equal states have identical snapshots.
func (v *View) Snapshot() ([]byte, error) {
	out := snapshot{Version: snapshotVersion, Catalog: v.catalog, NextWorker: v.nextWorker, NowMs: v.nowMs, Finished: v.finished, Departed: v.departed, Evacuations: v.Evacuations(), OpenStarts: v.OpenStarts(), RecentPlacements: v.recentPlacements, CancelledIDs: v.cancelledIDs.list, StartAges: v.openStarts.ages()}
	if len(out.Evacuations) > 0 {
		out.Version = evacuationVersion
	}
	for _, job := range v.jobs {
		if len(job.Copies) > 0 {
			out.Version = copyVersion
		}
		out.Jobs = append(out.Jobs, job)
	}
	for _, w := range v.workers {
		out.Workers = append(out.Workers, w)
	}
	for _, wave := range v.waves {
		out.Waves = append(out.Waves, wave)
	}
	slices.SortFunc(out.Waves, func(a, b *Wave) int { return compare(a.ID, b.ID) })
	slices.SortFunc(out.Jobs, func(a, b *Job) int { return compare(a.ID, b.ID) })
	slices.SortFunc(out.Workers, func(a, b *Worker) int { return compare(a.ID, b.ID) })
	return cborcodec.Encode.Marshal(out)
}

func compare[T JobID | WorkerID | uint64](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// checkOccurrences checks that decoded occurrences are those of the job's steps. The error is
// of kind corrupt.
func (j *Job) checkOccurrences() error {
	fits := j.Occurrences.Len() == j.Spec.Occurrences()
	for _, o := range j.Occurrences.Held() {
		fits = fits && len(o.Steps) == len(j.Spec.Steps) && len(o.Done) == len(j.Spec.Steps)
		for i := range j.Spec.Steps {
			fits = fits && len(o.Steps[i]) == int(j.Spec.Steps[i].Count)
		}
	}
	if !fits {
		return kind.Errorf(kind.Corrupt, "the occurrences of job %s do not match its steps", j.ID)
	}
	return nil
}

// DecodeSnapshot decodes a snapshot. The error is of kind corrupt.
func DecodeSnapshot(data []byte) (*State, error) {
	var in snapshot
	if err := cborcodec.Decode.Unmarshal(data, &in); err != nil {
		return nil, kind.Errorf(kind.Corrupt, "decode workflow snapshot: %w", err)
	}
	if in.Version < snapshotVersion || in.Version > copyVersion {
		return nil, kind.Errorf(kind.Corrupt, "workflow snapshot has version %d, this program reads %d to %d", in.Version, snapshotVersion, copyVersion)
	}
	s := NewState()
	s.catalog, s.nextWorker, s.nowMs, s.finished, s.departed = in.Catalog, in.NextWorker, in.NowMs, in.Finished, in.Departed
	s.queues = newQueueIndex(s.catalog)
	s.openStarts, s.recentPlacements, s.cancelledIDs = newOpenStarts(in.OpenStarts, in.StartAges), in.RecentPlacements, newCancelledIDs(in.CancelledIDs)
	for _, job := range in.Jobs {
		if err := job.checkOccurrences(); err != nil {
			return nil, err
		}
		job.Occurrences.attach(&job.Spec)
		s.addJob(job)
	}
	for _, evacuation := range in.Evacuations {
		s.evacuatedSince[evacuation.Domain] = evacuation.SinceMs
	}
	for _, wave := range in.Waves {
		if wave.Progress == nil {
			wave.Progress = make(map[string]Maintenance)
		}
		s.waves[wave.ID] = wave
	}
	for _, w := range in.Workers {
		if w.Attempts == nil {
			w.Attempts = make(map[TaskRef]uint32)
		}
		s.workers[w.ID] = w
		s.byName[w.Life.Name] = w.ID
		s.byAddress[w.Address] = w.ID
		for ref := range w.Attempts {
			job := s.jobs[ref.Job]
			if job == nil {
				continue
			}
			job.attempts++
			if held := job.Occurrences.find(ref.Occurrence); held != nil {
				held.attempts++
			}
		}
	}
	for _, job := range s.jobs {
		s.settleOccurrences(job)
	}
	return s, nil
}
