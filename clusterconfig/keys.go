package clusterconfig

// Keys of each mapping of the configuration.
var (
	topKeys       = []string{"services", "weights", "teams", "credits_end", "leases", "entry"}
	serviceKeys   = []string{"timeout", "queue_limit", "objective"}
	objectiveKeys = []string{"p99", "success"}
	weightKeys    = []string{"tail_latency", "evictions", "throughput"}
	teamKeys      = []string{"processors", "memory", "accelerators"}
	leaseKeys     = []string{"duration", "hold", "usage"}
	entryKeys     = []string{"stop_when_stale"}
)

// Keys returns every key that a configuration may contain. Nested keys are dotted, and
// NAME stands for the name of a service or a team.
func Keys() []string {
	keys := []string{"credits_end"}
	keys = append(keys, nestedKeys("services.NAME", []string{"timeout", "queue_limit"})...)
	keys = append(keys, nestedKeys("services.NAME.objective", objectiveKeys)...)
	keys = append(keys, nestedKeys("weights", weightKeys)...)
	keys = append(keys, nestedKeys("teams.NAME", teamKeys)...)
	keys = append(keys, nestedKeys("leases", leaseKeys)...)
	return append(keys, nestedKeys("entry", entryKeys)...)
}

func nestedKeys(parent string, children []string) []string {
	keys := make([]string, 0, len(children))
	for _, child := range children {
		keys = append(keys, parent+"."+child)
	}
	return keys
}
