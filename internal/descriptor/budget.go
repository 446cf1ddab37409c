// Package descriptor shares the file descriptors of a process out over its uses, so that
// none of them takes those that another one needs.
//
// Descriptors are kept for files first. Connections of peers come before inbound ones, and
// these before outbound ones, which are closed while idle when the others need room. Each
// use has a guaranteed part that no other use takes.
package descriptor

import (
	"expvar"
	"math"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Use is a use of descriptors.
type Use int

// Uses of descriptors, the most important first.
const (
	// Peers are connections accepted from other processes of the system.
	Peers Use = iota
	// Inbound are connections accepted from all others.
	Inbound
	// Outbound are connections to workers and targets.
	Outbound
	useCount
)

var useNames = [useCount]string{Peers: "peers", Inbound: "inbound", Outbound: "outbound"}

const (
	// fileDescriptors are kept for files, listeners and connections to peers, at most
	// one in maxFileFraction of all.
	fileDescriptors = 64
	maxFileFraction = 8
	// peersFraction, inboundFraction and outboundFraction are the guaranteed parts of
	// the uses: one in so many descriptors.
	peersFraction, inboundFraction, outboundFraction = 16, 16, 4
	// growthFraction of the connections in use, and minGrowth, are kept for new ones of
	// a use that comes before another.
	growthFraction, minGrowth = 8, 16
)

// Budget counts the connections of a process and limits them by use. It is safe for
// concurrent use.
type Budget struct {
	total int
	used  [useCount]atomic.Int64
	// reclaim closes outbound connections above their limit.
	reclaim atomic.Pointer[func()]
}

// New returns the budget of a process that may open limit descriptors, at most as many as
// the operating system allows. Zero stands for that limit.
func New(limit int) *Budget {
	if system := systemLimit(); limit <= 0 || limit > system {
		limit = system
	}
	return &Budget{total: max(limit-min(fileDescriptors, limit/maxFileFraction), 1)}
}

// systemLimit returns the limit of the operating system for this process.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// Limit returns the number of connections that a use may have open now. It falls while
// the uses before it grow.
func (b *Budget) Limit(u Use) int {
	limit := b.total
	for other := range useCount {
		switch {
		case other < u:
			limit -= b.reserved(other)
		case other > u:
			limit -= b.guaranteed(other)
		}
	}
	return max(limit, 1)
}

// guaranteed returns the number of connections that no other use takes.
func (b *Budget) guaranteed(u Use) int {
	return b.total / [useCount]int{Peers: peersFraction, Inbound: inboundFraction, Outbound: outboundFraction}[u]
}

// reserved returns the number of connections kept for a use: those that it has, and more
// for its growth, within its limit.
func (b *Budget) reserved(u Use) int {
	used := b.Used(u)
	return min(max(b.guaranteed(u), used+used/growthFraction+minGrowth), b.Limit(u))
}

// Used returns the number of open connections of a use.
func (b *Budget) Used(u Use) int { return int(b.used[u].Load()) }

// Opened counts a new connection. If that leaves too few descriptors for outbound
// connections, idle ones of these are closed.
func (b *Budget) Opened(u Use) {
	b.used[u].Add(1)
	if reclaim := b.reclaim.Load(); reclaim != nil && u != Outbound && b.Used(Outbound) > b.Limit(Outbound) {
		(*reclaim)()
	}
}

// Closed counts a connection that was closed.
func (b *Budget) Closed(u Use) { b.used[u].Add(-1) }

// OnReclaim sets what closes idle outbound connections above their limit.
func (b *Budget) OnReclaim(reclaim func()) { b.reclaim.Store(&reclaim) }

// Publish adds the use and the limit of connections to vars.
func (b *Budget) Publish(vars *expvar.Map) {
	vars.Set("connections", expvar.Func(func() any {
		stats := make(map[string]int, 2*useCount)
		for u, name := range useNames {
			stats[name], stats[name+"_limit"] = b.Used(Use(u)), b.Limit(Use(u))
		}
		return stats
	}))
}
