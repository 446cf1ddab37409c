package workflow

import (
	"cmp"
	"maps"
	"slices"
)

// OpenStart records that a start of a task which was sent to an incarnation of a worker may
// still be carried out by a later one, or with Running that a run of the task is known there
// which is not recorded. Address is where the start was sent. Settled withdraws the record.
// There is one for a task and the name of a worker, with the earliest incarnation.
type OpenStart struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Life    Incarnation
	Address string
	Running bool
	Settled bool
}

// StartAge records that the open start of a task on the named worker was sent at least AgeMs
// milliseconds before, by the clock of the leader of Term that proposes it, and that none was sent
// since. Zero withdraws that; it is recorded before another start is sent. The next leader takes it
// from the term just before its own only: one between, of a program that records no ages, may have
// sent another start.
type StartAge struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskRef
	Worker string
	AgeMs  int64
	Term   uint64
}

// RecentPlacement is a placement of the last seconds. The start of its attempt may have been
// sent without an answer that is known to the next leader.
type RecentPlacement struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Attempt uint32
	AtMs    int64
}

// recentPlacementMs is how long placements are kept as recent. A leader sends the first start
// without a record of it within a second of the placement, waits 0.7 s for the answer, and
// records a start without one. The rest is for the wait of a batch in a slow log.
const recentPlacementMs = 5000

// openStarts holds the open starts by task and name of the worker.
type openStarts struct {
	records map[openStartKey]openStartRecord
	// last is the number of the latest record.
	last uint64
}

type openStartKey struct {
	task   TaskRef
	worker string
}

type openStartRecord struct {
	number uint64
	// ageMs is the age that the leader of ageTerm recorded.
	ageMs   int64
	ageTerm uint64
	OpenStart
}

func newOpenStarts(records []OpenStart, ages []StartAge) openStarts {
	o := openStarts{records: make(map[openStartKey]openStartRecord, len(records))}
	for i := range records {
		o.set(&records[i])
	}
	for i := range ages {
		o.setAge(&ages[i])
	}
	return o
}

func (o *openStarts) set(record *OpenStart) {
	key := openStartKey{record.Task, record.Life.Name}
	known, ok := o.records[key]
	switch {
	case record.Settled:
		delete(o.records, key)
	case ok:
		known.Running = record.Running
		o.records[key] = known
	default:
		o.last++
		o.records[key] = openStartRecord{number: o.last, OpenStart: *record}
	}
}

func (o *openStarts) setAge(age *StartAge) {
	key := openStartKey{age.Task, age.Worker}
	if known, ok := o.records[key]; ok {
		known.ageMs, known.ageTerm = age.AgeMs, age.Term
		o.records[key] = known
	}
}

// OpenStarts returns the recorded open starts, in the order of their records.
func (v *View) OpenStarts() []OpenStart {
	if len(v.openStarts.records) == 0 {
		return nil
	}
	records := v.openStarts.sorted()
	starts := make([]OpenStart, len(records))
	for i := range records {
		starts[i] = records[i].OpenStart
	}
	return starts
}

// StartAgeMs returns how long ago, in milliseconds, the open start of a task on the named worker
// was sent at least when the leader of the term recorded its age, zero if it did not.
func (v *View) StartAgeMs(task TaskRef, worker string, term uint64) int64 {
	if record := v.openStarts.records[openStartKey{task, worker}]; record.ageTerm == term {
		return record.ageMs
	}
	return 0
}

func (o *openStarts) sorted() []openStartRecord {
	return slices.SortedFunc(maps.Values(o.records), func(a, b openStartRecord) int { return cmp.Compare(a.number, b.number) })
}

// ages returns the recorded ages in the order of the open starts.
func (o *openStarts) ages() []StartAge {
	var ages []StartAge
	for _, r := range o.sorted() {
		if r.ageMs > 0 {
			ages = append(ages, StartAge{Task: r.Task, Worker: r.Life.Name, AgeMs: r.ageMs, Term: r.ageTerm})
		}
	}
	return ages
}

// RecentPlacements returns the placements of the last seconds, oldest first. The caller must
// not modify them.
func (v *View) RecentPlacements() []RecentPlacement { return v.recentPlacements }

func (s *State) recordPlacement(p *Place) {
	old := 0
	for old < len(s.recentPlacements) && s.nowMs-s.recentPlacements[old].AtMs > recentPlacementMs {
		old++
	}
	s.recentPlacements = append(s.recentPlacements[old:], RecentPlacement{Task: p.Task, Attempt: p.Attempt, AtMs: s.nowMs})
}
