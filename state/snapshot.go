package state

import (
	"bytes"
	"slices"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// SnapshotVersion is the highest version of the snapshot format. Raise it for every change
// that an older program would misread. A state without evacuations is written in version
// snapshotVersionPlain, which programs from before evacuations read.
const (
	SnapshotVersion      = 2
	snapshotVersionPlain = 1
)

// snapshotHeader is the first CBOR item of a snapshot; a snapshotBody follows, and from
// version 2 on a list of Evacuation.
type snapshotHeader struct {
	_       struct{} `cbor:",toarray"`
	Format  string
	Version int
}

const snapshotFormat = "mangohill-state"

type snapshotJob struct {
	_     struct{} `cbor:",toarray"`
	Spec  *types.JobSpec
	Tasks []types.Task
	// NextOrdinal is job.nextOrdinal.
	NextOrdinal int
}

type snapshotClaim struct {
	_         struct{} `cbor:",toarray"`
	Key       ClaimKey
	Digest    uint64
	Token     uint64
	ChangedMs int64
	Resolved  bool
	Outcome   string
	Answer    *controlapi.ClaimResult
}

type snapshotBody struct {
	_             struct{} `cbor:",toarray"`
	NowMs         int64
	AgeMs         int64
	Index         uint64
	NextTask      types.TaskID
	NextWorker    types.WorkerID
	EpochFloor    uint64
	Workers       []types.Worker
	Jobs          []snapshotJob
	Ended         []types.TaskID
	ConfigVersion uint64
	ConfigText    string
	LeasesMs      []int64
	Claims        []snapshotClaim
	Touched       []claimChange // claimTable.changeLog
	Kept          []ClaimKey    // claimTable.answerOrder
	Outcomes      []*Outcome
	Forgotten     []uint64 // commandTable.forgottenOrder
	HorizonMs     int64
	Events        []Event
}

// Snapshot encodes the whole state. Equal states have identical snapshots.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out bytes.Buffer
	encoder := cborcodec.Encode.NewEncoder(&out)
	version := snapshotVersionPlain
	if len(s.evacuations) > 0 {
		version = SnapshotVersion
	}
	if err := encoder.Encode(snapshotHeader{Format: snapshotFormat, Version: version}); err != nil {
		return nil, kind.Errorf(kind.Internal, "encode snapshot header: %w", err)
	}
	if err := encoder.Encode(s.body()); err != nil {
		return nil, kind.Errorf(kind.Internal, "encode snapshot: %w", err)
	}
	if version == snapshotVersionPlain {
		return out.Bytes(), nil
	}
	if err := encoder.Encode(s.listEvacuations()); err != nil {
		return nil, kind.Errorf(kind.Internal, "encode evacuations: %w", err)
	}
	return out.Bytes(), nil
}

func (s *Store) body() *snapshotBody {
	body := &snapshotBody{
		NowMs:         s.nowMs,
		AgeMs:         s.ageMs,
		Index:         s.index,
		NextTask:      s.nextTask,
		NextWorker:    s.nextWorker,
		EpochFloor:    s.epochFloor,
		Ended:         s.endedTasks,
		ConfigVersion: s.configVersion,
		ConfigText:    s.configText,
		LeasesMs:      s.leaseDurationsMs,
		Touched:       s.claims.changeLog,
		Kept:          s.claims.answerOrder,
		Forgotten:     s.commands.forgottenOrder,
		HorizonMs:     s.commands.horizonMs,
		Events:        s.events.ordered(),
	}
	for _, id := range sortedKeys(s.workers) {
		body.Workers = append(body.Workers, s.workers[id].Worker)
	}
	for _, name := range sortedKeys(s.jobs) {
		body.Jobs = append(body.Jobs, s.snapshotJob(s.jobs[name]))
	}
	for _, id := range s.commands.outcomeOrder {
		body.Outcomes = append(body.Outcomes, s.commands.outcomes[id])
	}
	body.Claims = s.claims.snapshot()
	return body
}

func (s *Store) snapshotJob(j *job) snapshotJob {
	out := snapshotJob{Spec: j.spec, NextOrdinal: j.nextOrdinal}
	for _, id := range j.tasks {
		out.Tasks = append(out.Tasks, *s.tasks[id])
	}
	return out
}

func (t *claimTable) snapshot() []snapshotClaim {
	out := make([]snapshotClaim, 0, len(t.claims))
	for key, c := range t.claims {
		out = append(out, snapshotClaim{
			Key:       key,
			Digest:    c.digest,
			Token:     c.token,
			ChangedMs: c.changedMs,
			Resolved:  c.resolved,
			Outcome:   c.outcome,
			Answer:    c.answer,
		})
	}
	slices.SortFunc(out, func(a, b snapshotClaim) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}

// Restore replaces the whole state by that of a snapshot. After an error, which is of
// kind corrupt, the state is unchanged. If the snapshot has a higher version than
// SnapshotVersion, the error names both.
func (s *Store) Restore(data []byte) error {
	body, evacuations, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	restored := New()
	if err := restored.load(body); err != nil {
		return err
	}
	if err := restored.loadEvacuations(evacuations); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceWith(restored)
	return nil
}

func decodeSnapshot(data []byte) (*snapshotBody, []Evacuation, error) {
	var header snapshotHeader
	rest, err := cborcodec.Decode.UnmarshalFirst(data, &header)
	if err != nil || header.Format != snapshotFormat {
		return nil, nil, kind.Errorf(kind.Corrupt, "the snapshot does not begin with the format %q", snapshotFormat)
	}
	if header.Version < snapshotVersionPlain || header.Version > SnapshotVersion {
		return nil, nil, kind.Errorf(kind.Corrupt, "the snapshot has version %d; this program reads versions up to %d", header.Version, SnapshotVersion)
	}
	var body snapshotBody
	var evacuations []Evacuation
	if header.Version == snapshotVersionPlain {
		err = cborcodec.Decode.Unmarshal(rest, &body)
	} else if rest, err = cborcodec.Decode.UnmarshalFirst(rest, &body); err == nil {
		err = cborcodec.Decode.Unmarshal(rest, &evacuations)
	}
	if err != nil {
		return nil, nil, kind.Errorf(kind.Corrupt, "decode snapshot: %w", err)
	}
	if slices.Contains(body.Outcomes, nil) {
		return nil, nil, kind.Errorf(kind.Corrupt, "snapshot: the outcome of a command is null")
	}
	return &body, evacuations, nil
}

func (s *Store) load(body *snapshotBody) error {
	s.nowMs, s.ageMs, s.index = body.NowMs, body.AgeMs, body.Index
	s.nextTask, s.nextWorker, s.epochFloor = body.NextTask, body.NextWorker, body.EpochFloor
	s.endedTasks = body.Ended
	s.configVersion, s.configText = body.ConfigVersion, body.ConfigText
	if len(body.LeasesMs) > 0 {
		s.leaseDurationsMs = body.LeasesMs
	}
	s.events.list = body.Events
	for _, w := range body.Workers {
		s.workers[w.ID] = &worker{Worker: w}
		s.workerNames[w.Name] = w.ID
	}
	for _, j := range body.Jobs {
		if err := s.loadJob(j); err != nil {
			return err
		}
	}
	s.loadClaims(body)
	s.loadCommands(body)
	if err := s.CheckInvariants(); err != nil {
		return kind.Errorf(kind.Corrupt, "snapshot breaks an invariant: %w", err)
	}
	return nil
}

func (s *Store) loadJob(in snapshotJob) error {
	if in.Spec == nil {
		return kind.Errorf(kind.Corrupt, "snapshot: a job has no spec")
	}
	j := &job{spec: in.Spec, nextOrdinal: in.NextOrdinal}
	s.jobs[in.Spec.Name] = j
	for i := range in.Tasks {
		t := &in.Tasks[i]
		t.Job = in.Spec
		s.tasks[t.ID] = t
		s.taskNames[t.Name] = t.ID
		j.tasks = append(j.tasks, t.ID)
		if t.Worker == 0 {
			continue
		}
		w, ok := s.workers[t.Worker]
		if !ok || !t.State.Placed() {
			return kind.Errorf(kind.Corrupt, "snapshot: task %q in state %s is placed on worker %d: the worker does not exist or the state does not allow it", t.Name, t.State, t.Worker)
		}
		s.place(t, w)
	}
	return nil
}

func (s *Store) loadClaims(body *snapshotBody) {
	s.claims.changeLog, s.claims.answerOrder = body.Touched, body.Kept
	for _, in := range body.Claims {
		c := &claim{
			digest:    in.Digest,
			token:     in.Token,
			changedMs: in.ChangedMs,
			resolved:  in.Resolved,
			outcome:   in.Outcome,
			answer:    in.Answer,
		}
		s.claims.claims[in.Key] = c
		if c.answer != nil {
			s.claims.answerBytes += answerSize(c.answer)
		}
	}
}

func (s *Store) loadCommands(body *snapshotBody) {
	c := &s.commands
	for _, outcome := range body.Outcomes {
		c.outcomes[outcome.ID] = outcome
		c.outcomeOrder = append(c.outcomeOrder, outcome.ID)
	}
	c.forgottenOrder, c.horizonMs = body.Forgotten, body.HorizonMs
	for _, hash := range body.Forgotten {
		c.forgotten[hash] = struct{}{}
	}
}

// replaceWith replaces the content by that of another store, which must not be used
// afterwards. The next TakeChanges returns the whole state.
func (s *Store) replaceWith(other *Store) {
	s.nowMs, s.ageMs, s.index = other.nowMs, other.ageMs, other.index
	s.nextTask, s.nextWorker, s.epochFloor = other.nextTask, other.nextWorker, other.epochFloor
	s.workers, s.workerNames = other.workers, other.workerNames
	s.tasks, s.taskNames, s.jobs, s.endedTasks = other.tasks, other.taskNames, other.jobs, other.endedTasks
	s.configVersion, s.configText, s.leaseDurationsMs = other.configVersion, other.configText, other.leaseDurationsMs
	s.evacuations = other.evacuations
	s.claims, s.commands, s.events = other.claims, other.commands, other.events
	s.changes.all, s.changes.config = true, true
	s.changes.notify()
}
