package workflow

import (
	"slices"

	"mangohill.example/mangohill/kind"
)

// CancelledID is the ID of a job that a caller cancelled and that was not known. A submission
// that was sent before may still be under way; it must not start the job.
type CancelledID struct {
	_    struct{} `cbor:",toarray"`
	ID   JobID
	AtMs int64 // when the latest cancel was recorded, in milliseconds since the Unix epoch
}

const (
	// cancelledIDRetentionMs is how long a cancelled ID is kept, in milliseconds: as long as a
	// job that has ended. Submissions do not stay under way for that long.
	cancelledIDRetentionMs = endedJobRetentionMs
	// cancelledIDRenewalMs is the age from which on another cancel keeps an ID anew. Repeated
	// cancels would otherwise be logged each time.
	cancelledIDRenewalMs = cancelledIDRetentionMs / 2
	// maxCancelledIDs bounds the cancelled IDs that are kept. They take some 2 MB of memory and
	// 620 KB of a snapshot.
	maxCancelledIDs = 1 << 15
)

// cancelledIDs holds cancelled IDs in the order of their latest cancels.
type cancelledIDs struct {
	list []CancelledID
	at   map[JobID]int64
}

func newCancelledIDs(list []CancelledID) cancelledIDs {
	c := cancelledIDs{list: list, at: make(map[JobID]int64, len(list))}
	for _, cancelled := range list {
		c.at[cancelled.ID] = cancelled.AtMs
	}
	return c
}

func (c *cancelledIDs) set(id JobID, nowMs int64) {
	if _, known := c.at[id]; known {
		c.list = slices.DeleteFunc(c.list, func(other CancelledID) bool { return other.ID == id })
	}
	c.list = append(c.list, CancelledID{ID: id, AtMs: nowMs})
	c.at[id] = nowMs
}

// expire drops the IDs whose retention has ended.
func (c *cancelledIDs) expire(nowMs int64) {
	for len(c.list) > 0 && nowMs-c.list[0].AtMs >= cancelledIDRetentionMs {
		delete(c.at, c.list[0].ID)
		c.list = c.list[1:]
	}
}

// IsCancelledID reports whether a cancel of the ID is kept, so that no job of this ID may be
// accepted.
func (v *View) IsCancelledID(id JobID) bool {
	_, cancelled := v.cancelledIDs.at[id]
	return cancelled
}

// CancelledIDs returns the number of cancelled IDs that are kept.
func (v *View) CancelledIDs() int { return len(v.cancelledIDs.list) }

// CheckCancel reports whether Cancel would change the state for an ID of which no job is known:
// not if it has been kept lately. The error is of kind overloaded if there is no room for it.
func (v *View) CheckCancel(id JobID) (changes bool, err error) {
	at, known := v.cancelledIDs.at[id]
	switch {
	case known:
		return v.nowMs-at >= cancelledIDRenewalMs, nil
	case len(v.cancelledIDs.list) >= maxCancelledIDs:
		return false, kind.Errorf(kind.Overloaded, "%d IDs of unknown jobs were cancelled lately", maxCancelledIDs)
	}
	return true, nil
}

// cancelUnknown keeps the ID of a job that is not known.
func (s *State) cancelUnknown(id JobID) error {
	changes, err := s.CheckCancel(id)
	if changes {
		s.cancelledIDs.set(id, s.nowMs)
	}
	return err
}
