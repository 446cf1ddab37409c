package route

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Allotment divides the slots of each target among the entry hosts. Every entry
// host computes it independently from the members that it considers live.
//
// While the membership views of two hosts differ, both could claim the same
// slot. A host therefore uses a slot only if every view that it held during the
// last settle time grants it: it releases slots at once and acquires others only
// after the settle time.
//
// A host acquires the slots of lost members only if at least half of all members
// are live in its view. In a network partition, the smaller side keeps only the
// slots that it had.
type Allotment struct {
	self         string
	settleTime   time.Duration
	totalMembers int
	views        []view
}

// view is the sorted list of members that were considered live for some time.
type view struct {
	members []string
	// replacedAt is when a newer view replaced this one, zero for the current view.
	replacedAt time.Time
}

// NewAllotment returns an Allotment for the entry host self, one of total
// members. It grants no slots until its first view is older than settle. A total
// of zero means that the number of members is unknown: then any side of a
// partition acquires the slots of lost members.
func NewAllotment(self string, settle time.Duration, total int) *Allotment {
	return &Allotment{self: self, settleTime: settle, totalMembers: total}
}

// SetMembers records the members that this entry host now considers live,
// including itself if it accepts requests.
func (a *Allotment) SetMembers(now time.Time, members []string) {
	sorted := slices.Clone(members)
	sort.Strings(sorted)
	if len(a.views) == 0 {
		a.views = append(a.views, view{replacedAt: now})
	}
	last := &a.views[len(a.views)-1]
	if 2*len(sorted) < a.totalMembers {
		sorted = mergeMembers(sorted, last.members)
	}
	if last.replacedAt.IsZero() {
		if slices.Equal(last.members, sorted) {
			return
		}
		last.replacedAt = now
	}
	a.views = append(a.views, view{members: sorted})
	a.dropExpiredViews(now)
}

func mergeMembers(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	sort.Strings(out)
	return slices.Compact(out)
}

// Reset restarts the settle time, during which no slots are granted. A host calls
// it after a pause of its process that was long enough for the others to have
// acquired its slots.
func (a *Allotment) Reset(now time.Time) {
	if len(a.views) == 0 {
		return
	}
	last := a.views[len(a.views)-1]
	a.views = []view{{replacedAt: now}, last}
}

func (a *Allotment) dropExpiredViews(now time.Time) {
	a.views = slices.DeleteFunc(a.views, func(v view) bool {
		return !v.replacedAt.IsZero() && now.Sub(v.replacedAt) >= a.settleTime
	})
}

// Settled reports whether the current view alone decides: no earlier one was
// replaced during the last settle time.
func (a *Allotment) Settled(now time.Time) bool {
	a.dropExpiredViews(now)
	return len(a.views) == 1 && a.views[0].replacedAt.IsZero()
}

// Share returns how many of the target's slots this entry host may use now.
func (a *Allotment) Share(now time.Time, target string, slots int) int {
	a.dropExpiredViews(now)
	if len(a.views) == 0 {
		return 0
	}
	share := slots
	for _, v := range a.views {
		share = min(share, Share(a.self, v.members, target, slots))
	}
	return share
}

// Share returns how many of a target's slots self gets among members. Each member
// gets slots / len(members); the slots that remain go, one each, to the members
// that rank first for that target. The ranking is by rendezvous hashing, so that
// the loss of a member moves only its own slots.
func Share(self string, members []string, target string, slots int) int {
	if !slices.Contains(members, self) {
		return 0
	}
	own := rendezvousWeight(target, self)
	rank := 0
	for _, member := range members {
		other := rendezvousWeight(target, member)
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

// rendezvousWeight returns the hash by which a target ranks its members. The
// writes never return an error.
func rendezvousWeight(target, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(target)
	_, _ = digest.Write([]byte{0}) // Separates the two names.
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
