package callload

import "time"

// Policy is the routing policy of a simulated run.
type Policy string

// The policies that are compared.
const (
	// Central is one queue that sees every slot.
	Central Policy = "central queue"
	// Random sends to a random target.
	Random Policy = "random"
	// RoundRobin sends to each target in turn.
	RoundRobin Policy = "round-robin"
	// WeightedRoundRobin gives the targets the shares that are optimal for blind
	// routing in heavy traffic (Ye, Optimal Round-Robin Routing to Parallel
	// Servers in Heavy Traffic, equation 22).
	WeightedRoundRobin Policy = "weighted round-robin"
	// TwoChoices takes the better of two random targets by announced load.
	TwoChoices Policy = "two choices, announced"
	// LeastOutstanding takes the target with the fewest requests of this host.
	LeastOutstanding Policy = "least outstanding"
	// Shares gives each host a fixed part of every target's slots.
	Shares Policy = "slot shares"
	// DynamicShares moves the parts towards the hosts with the greater demand.
	DynamicShares Policy = "shares moved by demand"
	// Borrow is Shares, and hands a request to a peer with a free slot.
	Borrow Policy = "shares, borrow by a hop"
	// Hedge is Borrow, and sends a second copy of a request that takes long to a
	// free slot. Both take the time that the request asks for.
	Hedge Policy = "borrow, hedge equal work"
	// HedgeRedraw is Hedge where the copy takes a time of its own.
	HedgeRedraw Policy = "borrow, hedge redrawn work"
	// Owners gives all slots of a target to one host, which gets the requests of
	// the others by a hop.
	Owners Policy = "owner hosts, hop"
)

// Policies lists all routing policies, the reference (Central) first.
var Policies = []Policy{Central, Random, RoundRobin, WeightedRoundRobin, TwoChoices, LeastOutstanding, Shares, DynamicShares, Borrow, Owners, Hedge, HedgeRedraw}

// Config describes a run. Times are virtual.
type Config struct {
	Policy  Policy
	Entries int
	Targets int
	Slots   int
	// Mean is the mean of the lognormal service time, which has a coefficient of
	// variation of one.
	Mean time.Duration
	// Load is the offered load as a share of the capacity of the targets.
	Load float64
	// Skew is the ratio of the first entry host's arrivals to those of another.
	Skew float64
	// SlowShare of the targets are slower by SlowFactor, from SlowAt on.
	SlowShare  float64
	SlowFactor float64
	SlowAt     time.Duration
	// Wave is the half period of a load that alternates between 1-WaveDepth and
	// 1+WaveDepth times the mean, zero for none.
	Wave      time.Duration
	WaveDepth float64
	// LoseEntryAt ends one entry host at that instant, zero for none.
	LoseEntryAt time.Duration
	// Announce is the interval at which targets announce their load.
	Announce time.Duration
	// Heartbeat is the interval at which entry hosts tell their load.
	Heartbeat time.Duration
	// HopDelay is the time on the way between two entry hosts, one way.
	HopDelay   time.Duration
	Timeout    time.Duration
	QueueLimit int
	// Warmup is left out of the figures. Duration follows it.
	Warmup   time.Duration
	Duration time.Duration
	Seed     uint64
}

// Default returns the configuration of the Association's size: 8 entry hosts
// and 65 targets with 8 slots.
func Default() Config {
	return Config{
		Entries: 8, Targets: 65, Slots: 8, Mean: 10 * time.Millisecond, Load: 0.8, Skew: 1, SlowFactor: 1,
		Announce: 1500 * time.Millisecond, Heartbeat: 250 * time.Millisecond, HopDelay: 500 * time.Microsecond,
		Timeout: 2 * time.Second, QueueLimit: 200, Warmup: 2 * time.Second, Duration: 8 * time.Second, Seed: 1,
	}
}

// Scenario is a named variation of a Config.
type Scenario struct {
	Name  string
	Apply func(*Config)
}

// Scenarios lists the variations.
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

// capacity returns the requests a second that the targets can serve.
func (c Config) capacity() float64 {
	slow := c.slowTargets()
	speed := float64(c.Targets-slow) + float64(slow)/c.SlowFactor
	return speed * float64(c.Slots) / c.Mean.Seconds()
}

func (c Config) slowTargets() int { return int(c.SlowShare * float64(c.Targets)) }
