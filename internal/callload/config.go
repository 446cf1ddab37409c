package callload

import "time"

// Policy is the routing policy of a simulated run.
type Policy string

// The routing policies under comparison.
const (
	// Central is a single queue that knows every slot.
	Central Policy = "central queue"
	// Random sends to a random target.
	Random Policy = "random"
	// RoundRobin sends to the targets in turn.
	RoundRobin Policy = "round-robin"
	// WeightedRoundRobin gives the targets the shares that are optimal in heavy
	// traffic without knowledge of their queues (Ye, Optimal Round-Robin Routing to
	// Parallel Servers in Heavy Traffic, equation 22).
	WeightedRoundRobin Policy = "weighted round-robin"
	// TwoChoices draws two targets at random and uses the one with the lower load, as
	// last announced.
	TwoChoices Policy = "two choices, announced"
	// LeastOutstanding uses the target with the fewest unanswered requests of the
	// same entry host.
	LeastOutstanding Policy = "least outstanding"
	// Shares gives each entry host a fixed part of the slots of every target.
	Shares Policy = "slot shares"
	// DynamicShares moves slots to the entry hosts with greater demand.
	DynamicShares Policy = "shares moved by demand"
	// Borrow is Shares, but hands a request without a free slot to a peer that has one.
	Borrow Policy = "shares, borrow by a hop"
	// Hedge is Borrow, but sends a second copy of a slow request to a free slot. Both
	// copies have the same service time.
	Hedge Policy = "borrow, hedge equal work"
	// HedgeRedraw is Hedge with a service time drawn anew for the second copy.
	HedgeRedraw Policy = "borrow, hedge redrawn work"
	// Owners gives all slots of a target to one entry host; the others forward their
	// requests for it to that host.
	Owners Policy = "owner hosts, hop"
)

// Policies lists all routing policies, the reference (Central) first.
var Policies = []Policy{Central, Random, RoundRobin, WeightedRoundRobin, TwoChoices, LeastOutstanding, Shares, DynamicShares, Borrow, Owners, Hedge, HedgeRedraw}

// Config describes a simulated run. All times are virtual.
type Config struct {
	Policy  Policy
	Entries int // number of entry hosts
	Targets int
	Slots   int // slots of each target
	// Mean is the mean of the lognormal service time, which has a coefficient of
	// variation of one.
	Mean time.Duration
	// Load is the offered load as a share of the capacity of the targets.
	Load float64
	// Skew is the ratio of the arrivals at the first entry host to those at any other.
	Skew float64
	// From SlowAt on, the share SlowShare of the targets is slower by SlowFactor.
	SlowShare  float64
	SlowFactor float64
	SlowAt     time.Duration
	// Wave is the half period of a load that alternates between 1-WaveDepth and
	// 1+WaveDepth times the mean, zero for none.
	Wave      time.Duration
	WaveDepth float64
	// LoseEntryAt is the time at which one entry host crashes, zero for none.
	LoseEntryAt time.Duration
	// Announce is the interval between the load announcements of a target.
	Announce time.Duration
	// Heartbeat is the interval at which entry hosts send their load to each other.
	Heartbeat time.Duration
	// HopDelay is the one-way network delay between two entry hosts.
	HopDelay time.Duration
	// Timeout is the time from the arrival of a request to its deadline.
	Timeout time.Duration
	// QueueLimit is the largest number of requests queued on one entry host.
	QueueLimit int
	// Requests that arrive during Warmup are not measured. Duration is the measured
	// time after it.
	Warmup   time.Duration
	Duration time.Duration
	Seed     uint64
}

// Default returns a configuration of the size of fleet.Association: 8 entry hosts
// and 65 targets with 8 slots each.
func Default() Config {
	return Config{
		Entries: 8, Targets: 65, Slots: 8, Mean: 10 * time.Millisecond, Load: 0.8, Skew: 1, SlowFactor: 1,
		Announce: 1500 * time.Millisecond, Heartbeat: 250 * time.Millisecond, HopDelay: 500 * time.Microsecond,
		Timeout: 2 * time.Second, QueueLimit: 200, Warmup: 2 * time.Second, Duration: 8 * time.Second, Seed: 1,
	}
}

// Scenario is a named change of a Config.
type Scenario struct {
	Name  string
	Apply func(*Config)
}

// Scenarios lists the simulated combinations of load and faults.
var Scenarios = []Scenario{
	{"even", func(*Config) {}},
	{"2x skew", func(c *Config) { c.Skew = 2 }},
	{"tenth 4x slower", func(c *Config) { c.SlowShare, c.SlowFactor = 0.1, 4 }},
	{"tenth suddenly 4x slower", func(c *Config) {
		c.SlowShare, c.SlowFactor, c.SlowAt = 0.1, 4, c.Warmup+c.Duration/4
	}},
	{"waves", func(c *Config) { c.Wave, c.WaveDepth = time.Second/2, 0.25 }},
	{"entry host lost", func(c *Config) { c.LoseEntryAt = c.Warmup + c.Duration/4 }},
	{"after the loss", func(c *Config) { c.LoseEntryAt = c.Warmup / 100; c.Warmup += 3 * time.Second }},
	{"skew, slow and lost", func(c *Config) {
		c.Skew, c.SlowShare, c.SlowFactor = 2, 0.1, 4
		c.LoseEntryAt = c.Warmup / 100
		c.Warmup += 3 * time.Second
	}},
}

// capacity returns the number of requests per second that the targets can serve.
func (c Config) capacity() float64 {
	slow := c.slowTargets()
	speed := float64(c.Targets-slow) + float64(slow)/c.SlowFactor
	return speed * float64(c.Slots) / c.Mean.Seconds()
}

func (c Config) slowTargets() int { return int(c.SlowShare * float64(c.Targets)) }
