package workersync

import (
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/workerapi"
)

const (
	// usageRefresh is the longest time for which an unchanged usage is not
	// forwarded.
	usageRefresh = time.Minute
	// usageChangeDivisor: a value counts as changed by more than this fraction of
	// the one that was forwarded.
	usageChangeDivisor = 8
	// maxUsageValue bounds each reported value, in its own unit.
	maxUsageValue = 1 << 50
	// usageBudget is what the workers of an entry host may send it as usage, in
	// bytes a second, and usageSampleBytes the size of one sample.
	usageBudget      = 4096
	usageSampleBytes = 112
	// maxFilteredTasks bounds the usage remembered for one worker.
	maxFilteredTasks = 1024
)

// usageFilter forwards the usage of an attempt when it changed.
type usageFilter struct {
	last map[string]forwarded
}

type forwarded struct {
	at    time.Time
	usage controlapi.UsageReport
}

func newUsageFilter() usageFilter { return usageFilter{last: make(map[string]forwarded)} }

func usageOf(sample *workerapi.UsageSample, sentMs int64) controlapi.UsageReport {
	return controlapi.UsageReport{
		Task:            sample.Task,
		Epoch:           sample.Epoch,
		AgeMs:           min(max(0, sentMs-sample.TakenMs), maxUsageValue),
		MilliProcessors: thousandths(sample.Processors),
		MemoryBytes:     min(max(0, sample.MemoryBytes), maxUsageValue),
		LatencyP99Us:    thousandths(sample.LatencyP99Ms),
		ProgressMilli:   thousandths(sample.Progress),
	}
}

// thousandths converts a reported value, within bounds.
func thousandths(value float64) int64 {
	return int64(min(max(0, value*1000), maxUsageValue))
}

// usageInterval returns the interval in milliseconds at which workers report
// their usage: the configured one, or a longer one that keeps the given number
// of samples in an interval within the budget.
func usageInterval(configuredMs int64, samples int) int64 {
	return max(configuredMs, int64(samples)*usageSampleBytes*1000/usageBudget)
}

// pass returns the reports that are worth forwarding.
func (f *usageFilter) pass(now time.Time, reports []controlapi.UsageReport) []controlapi.UsageReport {
	var out []controlapi.UsageReport
	for _, r := range reports {
		last, ok := f.last[r.Task]
		if ok && last.usage.Epoch == r.Epoch && now.Sub(last.at) < usageRefresh && !changed(last.usage, r) {
			continue
		}
		if !ok && len(f.last) >= maxFilteredTasks {
			clear(f.last)
		}
		f.last[r.Task] = forwarded{at: now, usage: r}
		out = append(out, r)
	}
	return out
}

func changed(old, fresh controlapi.UsageReport) bool {
	return differs(old.MilliProcessors, fresh.MilliProcessors) ||
		differs(old.MemoryBytes, fresh.MemoryBytes) ||
		differs(old.LatencyP99Us, fresh.LatencyP99Us)
}

func differs(old, fresh int64) bool {
	distance := max(old-fresh, fresh-old)
	return distance > old/usageChangeDivisor
}
