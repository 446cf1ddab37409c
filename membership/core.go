package membership

import (
	"sort"
	"time"

	"mangohill.example/mangohill/chart"
)

// State is the state of a member. Its transitions are defined in the chart
// "member".
type State string

// States of a member.
const (
	Unknown State = "unknown"
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)

// Events of the chart "member".
const (
	eventHeard  = "heard"
	eventQuiet  = "quiet"
	eventSilent = "silent"
	eventLeft   = "left"
)

// Peer is another entry host.
type Peer struct {
	Name string
	// PeerAddress and CallerAddress are the addresses of its listeners for
	// peers and callers, host:port.
	PeerAddress   string
	CallerAddress string
	// Token proves to the peer that a forwarded request comes from an entry
	// host.
	Token         uint64
	Incarnation   uint64
	ConfigVersion uint64
	State         State
	// StateSince is the time of the last change of State.
	StateSince time.Time
	// LastDirect is the time of the last heartbeat received from the peer
	// itself.
	LastDirect time.Time
	Loads      []ServiceLoad
}

// Change is a change of a member's state.
type Change struct {
	Peer     Peer
	Previous State
}

// CoreOptions configures a Core.
type CoreOptions struct {
	// Self is the member's own heartbeat without Heard and Loads; Beat is the
	// value before the first heartbeat.
	Self Heartbeat
	// SuspectAfter and DeadAfter are the times without a newer heartbeat after
	// which a peer becomes suspect and dead.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
}

// Core is the state of the failure detector. It has no clock and no socket.
type Core struct {
	options CoreOptions
	self    Heartbeat
	peers   map[uint32]*member
	chart   *chart.Chart
}

type member struct {
	Peer
	beat      uint64
	lastHeard time.Time
}

// Default times of a Core.
const (
	DefaultInterval     = 250 * time.Millisecond
	DefaultSuspectAfter = suspectIntervals * DefaultInterval
	DefaultDeadAfter    = deadIntervals * DefaultInterval
	// suspectIntervals and deadIntervals are the numbers of heartbeat intervals
	// without a newer heartbeat after which a member is suspected and declared
	// dead.
	suspectIntervals = 4
	deadIntervals    = 6
	// fanout is the number of peers that each heartbeat is sent to. The others
	// learn of it from these, so that a host's traffic does not grow with the
	// number of its peers.
	fanout = 3
)

// recipients returns the indexes of the peers, out of count, that get the
// heartbeat of a round: fanout peers in round-robin order.
func recipients(count int, round uint64) []int {
	if count <= fanout {
		return allIndexes(count)
	}
	first := int(round % uint64(count) * fanout % uint64(count))
	out := make([]int, 0, fanout)
	for i := range fanout {
		out = append(out, (first+i)%count)
	}
	return out
}

func allIndexes(count int) []int {
	out := make([]int, count)
	for i := range out {
		out[i] = i
	}
	return out
}

// NewCore returns a Core without peers.
func NewCore(options CoreOptions) *Core {
	if options.SuspectAfter == 0 {
		options.SuspectAfter = DefaultSuspectAfter
	}
	if options.DeadAfter == 0 {
		options.DeadAfter = DefaultDeadAfter
	}
	return &Core{
		options: options,
		self:    options.Self,
		peers:   make(map[uint32]*member),
		chart:   chart.MustLoad("member"),
	}
}

// Next returns the next heartbeat of this member.
func (c *Core) Next(configVersion uint64, loads []ServiceLoad) Heartbeat {
	c.self.Beat++
	h := c.self
	h.ConfigVersion = configVersion
	h.Loads = loads
	for id, m := range c.peers {
		if m.State == Live || m.State == Suspect {
			h.Heard = append(h.Heard, Heard{ID: id, Beat: m.beat})
		}
	}
	sort.Slice(h.Heard, func(i, j int) bool { return h.Heard[i].ID < h.Heard[j].ID })
	return h
}

// Leave marks this member as leaving in all later heartbeats.
func (c *Core) Leave() { c.self.Leaving = true }

// Receive processes a heartbeat and returns the resulting changes. A heartbeat
// that is not newer than the last known one of its sender changes nothing about
// the sender.
func (c *Core) Receive(now time.Time, h Heartbeat) []Change {
	if h.Name == c.self.Name {
		return nil
	}
	var changes []Change
	id := memberID(h.Name)
	m, ok := c.peers[id]
	if !ok {
		m = &member{Peer: Peer{Name: h.Name, State: Unknown, StateSince: now}}
		c.peers[id] = m
	}
	if h.Beat > m.beat {
		m.update(now, h)
		event := eventHeard
		if h.Leaving {
			event = eventLeft
		}
		changes = c.transition(now, m, event, changes)
	}
	for _, other := range h.Heard {
		changes = c.receiveIndirect(now, other, changes)
	}
	return changes
}

func (m *member) update(now time.Time, h Heartbeat) {
	m.beat = h.Beat
	m.lastHeard = now
	m.LastDirect = now
	m.PeerAddress, m.CallerAddress, m.Token = h.Peers, h.Callers, h.Token
	m.Incarnation = h.Incarnation()
	m.ConfigVersion = h.ConfigVersion
	m.Loads = h.Loads
}

func (c *Core) receiveIndirect(now time.Time, other Heard, changes []Change) []Change {
	m, ok := c.peers[other.ID]
	if !ok || other.Beat <= m.beat || m.State == Left {
		return changes
	}
	m.beat = other.Beat
	m.lastHeard = now
	return c.transition(now, m, eventHeard, changes)
}

// Tick returns the changes caused by the time since the last heartbeats.
func (c *Core) Tick(now time.Time) []Change {
	var changes []Change
	for _, m := range c.sorted() {
		silence := now.Sub(m.lastHeard)
		if silence >= c.options.SuspectAfter && m.State == Live {
			changes = c.transition(now, m, eventQuiet, changes)
		}
		if silence >= c.options.DeadAfter && (m.State == Suspect || m.State == Left) {
			changes = c.transition(now, m, eventSilent, changes)
		}
	}
	return changes
}

func (c *Core) transition(now time.Time, m *member, event string, changes []Change) []Change {
	next, err := c.chart.Next(string(m.State), event)
	if err != nil || State(next) == m.State {
		return changes
	}
	before := m.State
	m.State = State(next)
	m.StateSince = now
	return append(changes, Change{Peer: m.Peer, Previous: before})
}

// Peers returns all known peers, sorted by name.
func (c *Core) Peers() []Peer {
	var out []Peer
	for _, m := range c.sorted() {
		out = append(out, m.Peer)
	}
	return out
}

func (c *Core) sorted() []*member {
	out := make([]*member, 0, len(c.peers))
	for _, m := range c.peers {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
