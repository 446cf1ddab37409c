package lease

import (
	"cmp"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

const (
	// DefaultMaxQuorumContactAge is the default of Options.MaxQuorumContactAge.
	DefaultMaxQuorumContactAge = 1500 * time.Millisecond
	// ClockRateMarginDivisor sets the margin for clock rates: at the leader, a lease
	// expires after its duration plus the duration divided by ClockRateMarginDivisor.
	// That covers two clocks whose rates are off by 1% in opposite directions.
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
	// MaxQuorumContactAge is the greatest age of the leader's latest contact with a
	// quorum at which a renewal is granted. Zero means DefaultMaxQuorumContactAge.
	MaxQuorumContactAge time.Duration
}

// Table holds the leases as the leader of one term knows them. It is not safe for
// concurrent use.
type Table struct {
	maxQuorumContactAge time.Duration
	holders             map[types.WorkerID]*holderRecord
}

type holderRecord struct {
	incarnation uint64
	session     uint64
	expiresAt   time.Time
	// reportedExpired is set once Expired has returned the holder: its lease is not
	// renewed until it registers again.
	reportedExpired bool
}

// New returns the table of a leader that was elected at electedAt or before. Earlier
// leaders may have granted leases of up to longestLease to the holders; a deposed one
// may do so until its contact with a quorum is too old. These leases are therefore
// treated as granted MaxQuorumContactAge, plus the clock margin, after electedAt.
func New(options Options, electedAt time.Time, longestLease time.Duration, holders []Holder) *Table {
	t := &Table{maxQuorumContactAge: options.MaxQuorumContactAge, holders: make(map[types.WorkerID]*holderRecord, len(holders))}
	if t.maxQuorumContactAge == 0 {
		t.maxQuorumContactAge = DefaultMaxQuorumContactAge
	}
	granted := electedAt.Add(withClockMargin(t.maxQuorumContactAge))
	for _, h := range holders {
		t.holders[h.Worker] = &holderRecord{incarnation: h.Incarnation, session: h.Session, expiresAt: granted.Add(withClockMargin(longestLease))}
	}
	return t
}

func withClockMargin(d time.Duration) time.Duration { return d + d/ClockRateMarginDivisor }

// Register adds an incarnation whose registration the replicated state has applied.
// It holds no lease until its first renewal, and counts as expired if none is
// granted for the given duration plus the clock margin.
func (t *Table) Register(now time.Time, h Holder, duration time.Duration) {
	expiresAt := now.Add(withClockMargin(duration))
	old, ok := t.holders[h.Worker]
	if ok && old.session >= h.Session {
		return
	}
	if ok && old.expiresAt.After(expiresAt) {
		expiresAt = old.expiresAt
	}
	t.holders[h.Worker] = &holderRecord{incarnation: h.Incarnation, session: h.Session, expiresAt: expiresAt}
}

// Remove removes a worker.
func (t *Table) Remove(worker types.WorkerID) { delete(t.holders, worker) }

// Renew grants a lease of the given duration and returns the worker's session. It
// grants none to an unknown or old incarnation, to one whose lease was reported as
// expired, or if the latest contact with a quorum is too old.
func (t *Table) Renew(now, quorumContact time.Time, worker types.WorkerID, incarnation uint64, duration time.Duration) (session uint64, granted bool) {
	if !t.MayRenew(worker, incarnation) || !t.HasRecentQuorum(now, quorumContact) {
		return 0, false
	}
	r := t.holders[worker]
	expiresAt := now.Add(withClockMargin(duration))
	if expiresAt.After(r.expiresAt) {
		r.expiresAt = expiresAt
	}
	return r.session, true
}

// MayRenew reports whether the incarnation is registered and its lease was not
// reported as expired.
func (t *Table) MayRenew(worker types.WorkerID, incarnation uint64) bool {
	r, ok := t.holders[worker]
	return ok && r.incarnation == incarnation && !r.reportedExpired
}

// HasRecentQuorum reports whether quorumContact, the time of the latest contact with
// a quorum, is recent enough for granting leases.
func (t *Table) HasRecentQuorum(now, quorumContact time.Time) bool {
	return now.Sub(quorumContact) <= t.maxQuorumContactAge
}

// Expired returns the holders whose leases have certainly expired, ordered by
// worker ID. Their leases are not renewed until they register again. Later calls
// return them again until they are removed or registered.
func (t *Table) Expired(now time.Time) []Holder {
	var expired []Holder
	for id, r := range t.holders {
		if r.reportedExpired || now.After(r.expiresAt) {
			r.reportedExpired = true
			expired = append(expired, Holder{Worker: id, Incarnation: r.incarnation, Session: r.session})
		}
	}
	slices.SortFunc(expired, func(a, b Holder) int { return cmp.Compare(a.Worker, b.Worker) })
	return expired
}

// ExpiresAt returns the time at which the lease of a worker expires at the leader.
func (t *Table) ExpiresAt(worker types.WorkerID) (time.Time, bool) {
	r, ok := t.holders[worker]
	if !ok {
		return time.Time{}, false
	}
	return r.expiresAt, true
}

// RemoveExpired removes a holder whose expiry the replicated state has applied,
// unless the worker has registered again since.
func (t *Table) RemoveExpired(h Holder) {
	if r, ok := t.holders[h.Worker]; ok && r.session == h.Session {
		delete(t.holders, h.Worker)
	}
}
