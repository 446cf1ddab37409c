package headroom

import (
	"math/bits"
	"slices"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// SampleInterval is the time between two samples of the demand.
	SampleInterval = 100 * time.Millisecond
	// Window is the age up to which samples count, so that the target follows bursts and
	// falls within seconds after the load ends.
	Window = 10 * time.Second
	// MinHistory is the time for which samples must have been taken before they count.
	MinHistory = 2 * time.Second
	// quantilePercent is the quantile of the concurrent demand that is kept free.
	quantilePercent = 90

	maxSamples = int(Window / SampleInterval)
	minSamples = int(MinHistory / SampleInterval)
	// classes is the number of width classes. Four classes cover a factor of two, so that
	// the widest task of a class is at most a quarter wider than the narrowest.
	classes       = 64
	classesPerTwo = 4
)

// Load is the concurrent demand at one time, by width class.
type Load struct {
	classes [classes]classLoad
	// milliProcessors is the sum over all tasks.
	milliProcessors int64
}

type classLoad struct {
	count int32
	// need is the largest need of any task of the class.
	need workflow.Resources
}

// Add adds a task that holds capacity or waits for it.
func (l *Load) Add(need workflow.Resources) {
	c := &l.classes[classOf(need.MilliProcessors)]
	c.count++
	c.need = largest(c.need, need)
	l.milliProcessors += need.MilliProcessors
}

// MilliProcessors returns the sum over all tasks in thousandths of a processor.
func (l *Load) MilliProcessors() int64 { return l.milliProcessors }

// classOf returns the width class of a number of processors in thousandths.
func classOf(milliProcessors int64) int {
	if milliProcessors < classesPerTwo {
		return 0
	}
	octave := bits.Len64(uint64(milliProcessors)) - 1
	quarter := int(milliProcessors>>(octave-2)) & (classesPerTwo - 1)
	return min((octave-2)*classesPerTwo+quarter, classes-1)
}

func largest(a, b workflow.Resources) workflow.Resources {
	return workflow.Resources{MilliProcessors: max(a.MilliProcessors, b.MilliProcessors), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// Demand is the history of the concurrent demand of urgent tasks.
type Demand struct {
	// samples are the latest ones; the one at next%maxSamples is the oldest once all are used.
	samples []Load
	next    int
	// sums and peak are derived from samples: the tasks of each class over all samples, and
	// the quantile of the processors.
	sums [classes]classLoad
	peak int64
}

// Record adds a sample. Samples are taken each SampleInterval.
func (d *Demand) Record(l *Load) {
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, *l)
	} else {
		d.samples[d.next%maxSamples] = *l
	}
	d.next++
	d.sums = [classes]classLoad{}
	totals := make([]int64, len(d.samples))
	for i := range d.samples {
		sample := &d.samples[i]
		totals[i] = sample.milliProcessors
		if sample.milliProcessors == 0 {
			continue
		}
		for c := range sample.classes {
			d.sums[c].count += sample.classes[c].count
			d.sums[c].need = largest(d.sums[c].need, sample.classes[c].need)
		}
	}
	slices.Sort(totals)
	d.peak = totals[(len(totals)-1)*quantilePercent/100]
}

// Target returns the processors, in thousandths, that urgent tasks are expected to need at
// the same time. It is zero until there is enough history.
func (d *Demand) Target() int64 {
	if len(d.samples) <= minSamples {
		return 0
	}
	return d.peak
}

// MeanWidth returns the mean processors, in thousandths, of a task in the history.
func (d *Demand) MeanWidth() int64 {
	count, total := int64(0), int64(0)
	for c := range d.sums {
		count += int64(d.sums[c].count)
		total += int64(d.sums[c].count) * d.sums[c].need.MilliProcessors
	}
	return total / max(count, 1)
}

// Gaps returns the gaps, widest first, that make up the given number of processors with the
// widths of the history.
func (d *Demand) Gaps(milliProcessors int64) []Gap {
	total := int64(0)
	for c := range d.sums {
		total += int64(d.sums[c].count) * d.sums[c].need.MilliProcessors
	}
	if total == 0 || milliProcessors <= 0 {
		return nil
	}
	var gaps []Gap
	// carried is what the wider classes leave over of their share.
	carried := int64(0)
	for c := classes - 1; c >= 0; c-- {
		class := &d.sums[c]
		if class.count == 0 || class.need.MilliProcessors == 0 {
			continue
		}
		share := carried + int64(float64(milliProcessors)*float64(int64(class.count)*class.need.MilliProcessors)/float64(total))
		count := share / class.need.MilliProcessors
		carried = share - count*class.need.MilliProcessors
		if count > 0 {
			gaps = append(gaps, Gap{Need: class.need, Count: int(count)})
		}
	}
	return gaps
}

// Widths returns the needs of the classes in the history, widest first, each with the share of
// the processors that its tasks make up.
func (d *Demand) Widths() []Width {
	total := int64(0)
	var widths []Width
	for c := classes - 1; c >= 0; c-- {
		if class := &d.sums[c]; class.count > 0 {
			weight := int64(class.count) * class.need.MilliProcessors
			total += weight
			widths = append(widths, Width{class.need, float64(weight)})
		}
	}
	for i := range widths {
		widths[i].Share /= max(float64(total), 1)
	}
	return widths
}

// Width is the need of the tasks of one class and their share of the processors in demand.
type Width struct {
	Need  workflow.Resources
	Share float64
}

// Useful returns the processors, in thousandths, that tasks of the given widths could use of a
// gap, in the mean.
func Useful(widths []Width, gap workflow.Resources) float64 {
	useful := 0.0
	for _, w := range widths {
		useful += w.Share * float64(fitCount(w.Need, gap)*w.Need.MilliProcessors)
	}
	return useful
}

// fitCount returns how many tasks of the given need fit into a gap.
func fitCount(need, gap workflow.Resources) int64 {
	count := gap.MilliProcessors / max(need.MilliProcessors, 1)
	if need.MemoryMB > 0 {
		count = min(count, gap.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		count = min(count, gap.Accelerators/need.Accelerators)
	}
	return max(count, 0)
}
