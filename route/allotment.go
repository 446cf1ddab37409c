package route

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Allotment divides the slots of each target among the entry hosts. Every entry
// host computes it by itself from the members that it takes for live.
//
// While views differ, two hosts could count on the same slot. A host therefore
// uses a slot only if every view that it held during the last settle period
// grants it: it gives slots up at once and takes others over late.
//
// Slots of lost members are taken over only by a side that is at least half of
// the members: of two sides of a partition, the smaller one keeps what it has.
type Allotment struct {
	self   string
	settle time.Duration
	total  int
	views  []view
}

type view struct {
	members []string
	// until is the instant at which the view was replaced, zero for the last one.
	until time.Time
}

// NewAllotment returns an Allotment of the entry host self, one of total. It
// grants nothing until the first view is settled. A total of zero stands for an
// unknown number, with which any side takes slots over.
func NewAllotment(self string, settle time.Duration, total int) *Allotment {
	return &Allotment{self: self, settle: settle, total: total}
}

// SetMembers records the members that this entry host now takes for live, with
// itself if it takes part.
func (a *Allotment) SetMembers(now time.Time, members []string) {
	sorted := slices.Clone(members)
	sort.Strings(sorted)
	if len(a.views) == 0 {
		a.views = append(a.views, view{until: now})
	}
	last := &a.views[len(a.views)-1]
	if 2*len(sorted) < a.total {
		sorted = union(sorted, last.members)
	}
	if last.until.IsZero() {
		if slices.Equal(last.members, sorted) {
			return
		}
		last.until = now
	}
	a.views = append(a.views, view{members: sorted})
	a.forget(now)
}

func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	sort.Strings(out)
	return slices.Compact(out)
}

// Reset makes the settle time start anew. A host calls it that was held up for
// so long that the others may have taken its slots over.
func (a *Allotment) Reset(now time.Time) {
	if len(a.views) == 0 {
		return
	}
	last := a.views[len(a.views)-1]
	a.views = []view{{until: now}, last}
}

func (a *Allotment) forget(now time.Time) {
	a.views = slices.DeleteFunc(a.views, func(v view) bool {
		return !v.until.IsZero() && now.Sub(v.until) >= a.settle
	})
}

// Settled reports whether only one view counts.
func (a *Allotment) Settled(now time.Time) bool {
	a.forget(now)
	return len(a.views) == 1 && a.views[0].until.IsZero()
}

// Share returns the number of the target's slots that this entry host may use
// now.
func (a *Allotment) Share(now time.Time, target string, slots int) int {
	a.forget(now)
	if len(a.views) == 0 {
		return 0
	}
	share := slots
	for _, v := range a.views {
		share = min(share, Share(a.self, v.members, target, slots))
	}
	return share
}

// Share returns the part of a target's slots that falls to self among members:
// an equal part, and one of the remaining slots for the members that rank first
// for that target. The ranking is by rendezvous hashing, so that the loss of a
// member moves only its own slots.
func Share(self string, members []string, target string, slots int) int {
	if !slices.Contains(members, self) {
		return 0
	}
	own := weight(target, self)
	rank := 0
	for _, member := range members {
		other := weight(target, member)
		if other > own || other == own && member < self {
			rank++
		}
	}
	share := slots / len(members)
	if rank < slots%len(members) {
		share++
	}
	return share
}

func weight(target, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(target) // A hash never fails.
	_, _ = digest.Write([]byte{0})    // As above.
	_, _ = digest.WriteString(member) // As above.
	return digest.Sum64()
}
