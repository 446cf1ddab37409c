package lease

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// DefaultMaxQuorumContactAge is how old the latest contact with a quorum may be when a
	// renewal is granted.
	DefaultMaxQuorumContactAge = 1500 * time.Millisecond
	// ClockRateMarginDivisor gives the margin for clock rates: a lease is over at the
	// leader after its duration plus the duration divided by this. It covers clocks
	// whose rates are 1% from the true rate in opposite directions.
	ClockRateMarginDivisor = 40
)

// Holder is a worker incarnation that may hold a lease.
type Holder struct {
	Worker      types.WorkerID
	Incarnation uint64
	// Session is the number of the worker's registration in the replicated state.
	Session uint64
}

// Options configures a Table.
type Options struct {
	// MaxQuorumContactAge is how old the latest contact with a quorum may be when a renewal
	// is granted. Zero means DefaultQuorumBound.
	MaxQuorumContactAge time.Duration
}

// Table is the leader's view of the leases of one term. It is not safe for
// concurrent use.
type Table struct {
	quorumBound time.Duration
	holders     map[types.WorkerID]*record
}

type record struct {
	incarnation uint64
	session     uint64
	until       time.Time
	// ending is set once the lease was reported as over: it is not granted again
	// until the incarnation registers anew.
	ending bool
}

// New returns the table of a leader that was elected at electedAt or before. The
// leases of holders, granted by earlier leaders, may run for longest; they are
// treated as granted at the end of the quorum bound after the election.
func New(options Options, electedAt time.Time, longest time.Duration, holders []Holder) *Table {
	t := &Table{quorumBound: options.MaxQuorumContactAge, holders: make(map[types.WorkerID]*record, len(holders))}
	if t.quorumBound == 0 {
		t.quorumBound = DefaultMaxQuorumContactAge
	}
	granted := electedAt.Add(withMargin(t.quorumBound))
	for _, h := range holders {
		t.holders[h.Worker] = &record{incarnation: h.Incarnation, session: h.Session, until: granted.Add(withMargin(longest))}
	}
	return t
}

func withMargin(d time.Duration) time.Duration { return d + d/ClockRateMarginDivisor }

// Register adds an incarnation that the replicated state has taken in. It holds
// no lease before its first renewal, and is over after duration without one.
func (t *Table) Register(now time.Time, h Holder, duration time.Duration) {
	until := now.Add(withMargin(duration))
	old, ok := t.holders[h.Worker]
	if ok && old.session >= h.Session {
		return
	}
	if ok && old.until.After(until) {
		until = old.until
	}
	t.holders[h.Worker] = &record{incarnation: h.Incarnation, session: h.Session, until: until}
}

// Remove forgets a worker.
func (t *Table) Remove(worker types.WorkerID) { delete(t.holders, worker) }

// Renew grants a lease of the given duration and returns the worker's session, or
// reports false: for an unknown or old incarnation, for a lease that was reported
// as over, and when the latest contact with a quorum is too old.
func (t *Table) Renew(now, quorumContact time.Time, worker types.WorkerID, incarnation uint64, duration time.Duration) (session uint64, granted bool) {
	if !t.MayRenew(worker, incarnation) || !t.HasRecentQuorum(now, quorumContact) {
		return 0, false
	}
	r := t.holders[worker]
	until := now.Add(withMargin(duration))
	if until.After(r.until) {
		r.until = until
	}
	return r.session, true
}

// MayRenew reports whether the incarnation is registered and its lease was not
// reported as over.
func (t *Table) MayRenew(worker types.WorkerID, incarnation uint64) bool {
	r, ok := t.holders[worker]
	return ok && r.incarnation == incarnation && !r.ending
}

// HasRecentQuorum reports whether leases may be granted under a contact with a quorum
// at quorumContact.
func (t *Table) HasRecentQuorum(now, quorumContact time.Time) bool {
	return now.Sub(quorumContact) <= t.quorumBound
}

// Expired returns the holders whose leases are certainly over, in ascending order.
// They are granted nothing more until they register anew, and are returned again
// by later calls until they are removed or registered.
func (t *Table) Expired(now time.Time) []Holder {
	var over []Holder
	for id, r := range t.holders {
		if r.ending || now.After(r.until) {
			r.ending = true
			over = append(over, Holder{Worker: id, Incarnation: r.incarnation, Session: r.session})
		}
	}
	slices.SortFunc(over, func(a, b Holder) int { return cmp.Compare(a.Worker, b.Worker) })
	return over
}

// ExpiresAt returns the time at which the lease of a worker is over at the leader.
func (t *Table) ExpiresAt(worker types.WorkerID) (time.Time, bool) {
	r, ok := t.holders[worker]
	if !ok {
		return time.Time{}, false
	}
	return r.until, true
}

// RemoveExpired forgets a holder whose end of lease is recorded in the replicated state,
// unless it registered anew meanwhile.
func (t *Table) RemoveExpired(h Holder) {
	if r, ok := t.holders[h.Worker]; ok && r.session == h.Session {
		delete(t.holders, h.Worker)
	}
}
