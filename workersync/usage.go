package workersync

import (
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/workerapi"
)

const (
	// usageRefreshInterval is the time after which usage is forwarded even if it is
	// unchanged.
	usageRefreshInterval = time.Minute
	// usageChangeDivisor sets the threshold of a change: a value counts as changed if it
	// differs from the forwarded value by more than 1/usageChangeDivisor of the latter.
	usageChangeDivisor = 8
	// maxUsageValue bounds each reported value, in the unit of that value.
	maxUsageValue = 1 << 50
	// usageBudgetBytesPerSecond bounds the usage that all workers of an entry host
	// together send to it. usageSampleBytes is the size of one sample.
	usageBudgetBytesPerSecond = 4096
	usageSampleBytes          = 112
	// maxFilteredTasks bounds the number of tasks of one worker whose forwarded usage is
	// remembered. Beyond it all are dropped, and their next usage is forwarded.
	maxFilteredTasks = 1024
)

// usageFilter suppresses the usage of attempts that is unchanged since it was last
// forwarded.
type usageFilter struct {
	last map[string]forwardedUsage
}

type forwardedUsage struct {
	at    time.Time
	usage controlapi.UsageReport
}

func newUsageFilter() usageFilter { return usageFilter{last: make(map[string]forwardedUsage)} }

func usageOf(sample *workerapi.UsageSample, sentMs int64) controlapi.UsageReport {
	return controlapi.UsageReport{
		Task:            sample.Task,
		Epoch:           sample.Epoch,
		AgeMs:           min(max(0, sentMs-sample.TakenMs), maxUsageValue),
		MilliProcessors: toMilli(sample.Processors),
		MemoryBytes:     min(max(0, sample.MemoryBytes), maxUsageValue),
		LatencyP99Us:    toMilli(sample.LatencyP99Ms),
		ProgressMilli:   toMilli(sample.Progress),
	}
}

// toMilli converts a reported value to thousandths, limited to the range from 0 to
// maxUsageValue.
func toMilli(value float64) int64 {
	return int64(min(max(0, value*1000), maxUsageValue))
}

// usageInterval returns the interval in milliseconds at which workers report their
// usage. It is the configured interval, or a longer one if the given number of samples
// per interval would exceed the budget.
func usageInterval(configuredMs int64, samples int) int64 {
	return max(configuredMs, int64(samples)*usageSampleBytes*1000/usageBudgetBytesPerSecond)
}

// selectChanged returns the reports to forward: those of new attempts, those that
// changed, and those last forwarded usageRefreshInterval ago or earlier.
func (f *usageFilter) selectChanged(now time.Time, reports []controlapi.UsageReport) []controlapi.UsageReport {
	var out []controlapi.UsageReport
	for _, r := range reports {
		last, ok := f.last[r.Task]
		if ok && last.usage.Epoch == r.Epoch && now.Sub(last.at) < usageRefreshInterval && !changed(last.usage, r) {
			continue
		}
		if !ok && len(f.last) >= maxFilteredTasks {
			clear(f.last)
		}
		f.last[r.Task] = forwardedUsage{at: now, usage: r}
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
