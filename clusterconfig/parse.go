package clusterconfig

import (
	"fmt"
	"math"
	"strings"
	"time"

	"mangohill.example/mangohill/internal/yamltree"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Defaults of the optional keys.
const (
	DefaultServiceTimeout   = 2 * time.Second
	DefaultQueueLimit       = 200 // requests
	DefaultObjectiveP99     = time.Second
	DefaultObjectiveSuccess = 0.999 // share of the requests
	DefaultWeight           = 1.0
	DefaultLeaseDuration    = 10 * time.Second
	DefaultMaxPollHold      = 3 * time.Second
	DefaultUsageInterval    = 10 * time.Second
	DefaultStopWhenStale    = 10 * time.Second
)

// Bounds of configured values.
const (
	maxQueueLimit    = 1_000_000 // requests
	maxWeight        = 1000.0
	maxProcessors    = 1_000_000.0
	maxAccelerators  = 1_000_000
	minLeaseDuration = 200 * time.Millisecond
	maxLeaseDuration = 10 * time.Minute
)

// Parse parses the text of a configuration, fills in the defaults and validates it. An
// error is of kind BadConfig and lists every fault with its line.
func Parse(text string) (*types.Config, error) {
	var faults []yamltree.Fault
	root := yamltree.Parse(text, &faults)
	if root == nil {
		return nil, joinFaults(faults)
	}
	config := readConfig(root)
	if len(faults) > 0 {
		return nil, joinFaults(faults)
	}
	return config, nil
}

// Default returns the initial configuration of a new cluster.
func Default() *types.Config {
	config, err := Parse(types.DefaultConfigText)
	if err != nil {
		panic(err) // The text is a constant.
	}
	return config
}

// DefaultObjective returns the service-level objective of a service that the
// configuration does not list.
func DefaultObjective() types.Objective {
	return types.Objective{P99: DefaultObjectiveP99, Success: DefaultObjectiveSuccess}
}

func joinFaults(faults []yamltree.Fault) error {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		line := fmt.Sprintf("line %d: %s", fault.Line, fault.Problem)
		if fault.Key != "" {
			line = fmt.Sprintf("line %d: %s: %s", fault.Line, fault.Key, fault.Problem)
		}
		lines = append(lines, line)
	}
	return kind.Errorf(kind.BadConfig, "%s", strings.Join(lines, "; "))
}

func readConfig(root *yamltree.Map) *types.Config {
	config := &types.Config{
		Services: readServices(root.Map("services")),
		Weights:  readWeights(root.Map("weights")),
		Teams:    readTeams(root.Map("teams")),
		Leases:   readLeases(root.Map("leases")),
		Entry:    readEntry(root.Map("entry")),
	}
	config.CreditsEnd = readTime(root, "credits_end")
	root.Close(topKeys...)
	return config
}

func readServices(m *yamltree.Map) map[string]types.ServiceConfig {
	services := make(map[string]types.ServiceConfig)
	for _, name := range m.Names() {
		checkName(m, name)
		services[name] = readService(m.Map(name))
	}
	return services
}

func checkName(m *yamltree.Map, name string) {
	if err := types.CheckName(name); err != nil {
		m.Reject(name, "%v", err)
	}
}

func readService(m *yamltree.Map) types.ServiceConfig {
	service := types.ServiceConfig{
		Timeout:    positiveDuration(m, "timeout", DefaultServiceTimeout),
		QueueLimit: int(m.Int("queue_limit", DefaultQueueLimit, 0, maxQueueLimit)),
		Objective:  readObjective(m.Map("objective")),
	}
	m.Close(serviceKeys...)
	return service
}

func readObjective(m *yamltree.Map) types.Objective {
	objective := types.Objective{
		P99:     positiveDuration(m, "p99", DefaultObjectiveP99),
		Success: m.Float("success", DefaultObjectiveSuccess, 0, 1),
	}
	if objective.Success == 0 || objective.Success == 1 {
		m.Reject("success", "must lie between 0 and 1, so that there is an error budget")
	}
	m.Close(objectiveKeys...)
	return objective
}

func readWeights(m *yamltree.Map) types.Weights {
	weights := types.Weights{
		TailLatency: m.Float("tail_latency", DefaultWeight, 0, maxWeight),
		Evictions:   m.Float("evictions", DefaultWeight, 0, maxWeight),
		Throughput:  m.Float("throughput", DefaultWeight, 0, maxWeight),
	}
	if weights == (types.Weights{}) {
		m.Reject("tail_latency", "the weights must not all be 0")
	}
	m.Close(weightKeys...)
	return weights
}

func readTeams(m *yamltree.Map) map[string]types.TeamQuota {
	teams := make(map[string]types.TeamQuota)
	for _, name := range m.Names() {
		checkName(m, name)
		teams[name] = readTeam(m.Map(name))
	}
	return teams
}

func readTeam(m *yamltree.Map) types.TeamQuota {
	quota := types.TeamQuota{
		Processors:   m.Float("processors", math.NaN(), 0, maxProcessors),
		Accelerators: m.Int("accelerators", 0, 0, maxAccelerators),
	}
	if !m.Has("processors") {
		m.Reject("processors", "is missing")
	}
	quota.Memory, _ = m.Text("memory")
	if !m.Has("memory") {
		m.Reject("memory", "is missing")
	} else if _, err := types.ParseSize(quota.Memory); err != nil {
		m.Reject("memory", "%v", err)
	}
	m.Close(teamKeys...)
	return quota
}

func readLeases(m *yamltree.Map) types.LeaseConfig {
	leases := types.LeaseConfig{
		Duration:      positiveDuration(m, "duration", DefaultLeaseDuration),
		MaxPollHold:   positiveDuration(m, "hold", DefaultMaxPollHold),
		UsageInterval: positiveDuration(m, "usage", DefaultUsageInterval),
	}
	if leases.Duration < minLeaseDuration || leases.Duration > maxLeaseDuration {
		m.Reject("duration", "%s is outside %s to %s", leases.Duration, minLeaseDuration, maxLeaseDuration)
	}
	// A held sync renews the lease only when it is answered, so the lease must last
	// longer than two holds.
	if 2*leases.MaxPollHold >= leases.Duration {
		m.Reject("hold", "%s must be less than half of the lease duration %s", leases.MaxPollHold, leases.Duration)
	}
	m.Close(leaseKeys...)
	return leases
}

func readEntry(m *yamltree.Map) types.EntryConfig {
	entry := types.EntryConfig{StopWhenStale: m.Duration("stop_when_stale", DefaultStopWhenStale)}
	m.Close(entryKeys...)
	return entry
}

func positiveDuration(m *yamltree.Map, key string, fallback time.Duration) time.Duration {
	duration := m.Duration(key, fallback)
	if duration == 0 {
		m.Reject(key, "must be more than 0")
	}
	return duration
}

func readTime(m *yamltree.Map, key string) time.Time {
	text, ok := m.Text(key)
	if !ok {
		return time.Time{}
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		m.Reject(key, "%q is not a time such as 2027-03-31T00:00:00Z", text)
	}
	return parsed
}
