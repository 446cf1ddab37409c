//go:build capacity

package e2e

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/workerapi"
)

// clockTicksPerSecond is the unit of the processor times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// processUsage is the processor time and the bytes read and written by a process
// since its start, and its resident memory in bytes.
type processUsage struct {
	cpu     time.Duration
	ioBytes int64
	rss     int64
}

func (p *process) usage() processUsage {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	return processUsage{cpu: cpuTime(folder), ioBytes: procField(folder+"io", "rchar:") + procField(folder+"io", "wchar:"), rss: procField(folder+"status", "VmRSS:") * 1024}
}

func cpuTime(folder string) time.Duration {
	data, _ := os.ReadFile(folder + "stat") // Left empty if the process has exited.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

func procField(path, name string) int64 {
	data, _ := os.ReadFile(path) // Zero is returned if the process has exited.
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			value, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return value
		}
	}
	return 0
}

// measure prints the processor share, I/O rate and resident memory of each
// process over the window.
func (c *cluster) measure(label string, window time.Duration) {
	all := append(append([]*process{}, c.control...), c.entries...)
	before := make([]processUsage, len(all))
	for i, p := range all {
		before[i] = p.usage()
	}
	time.Sleep(window)
	for i, p := range all {
		now := p.usage()
		seconds := window.Seconds()
		fmt.Printf("%-28s %-10s cpu %5.2f %%  read+written %7.1f KB/s  rss %5.1f MB\n", label, p.name,
			100*(now.cpu-before[i].cpu).Seconds()/seconds, float64(now.ioBytes-before[i].ioBytes)/1000/seconds, float64(now.rss)/1e6)
	}
}

// TestCapacity prints the resource usage of control and entry processes for
// growing numbers of workers and running tasks. It asserts no limits;
// docs/CAPACITY.md is based on its output. The programs are built with the race
// detector unless CAPACITY_BINARIES names a folder with other builds.
// CAPACITY_LARGEST measures only the largest size. CAPACITY_WINDOW replaces the
// settling time (5 s) and the measured window (20 s).
func TestCapacity(t *testing.T) {
	useConfiguredBinaries()
	sizes := []struct{ workers, tasks int }{{0, 0}, {70, 0}, {140, 0}, {280, 0}, {560, 0}, {560, 2800}, {560, 11300}}
	if os.Getenv("CAPACITY_LARGEST") != "" {
		sizes = sizes[len(sizes)-1:]
	}
	settle, window := 5*time.Second, 20*time.Second
	if text := os.Getenv("CAPACITY_WINDOW"); text != "" {
		var err error
		window, err = time.ParseDuration(text)
		require.NoError(t, err)
		settle = window
	}
	c := newCluster(t, 3, 8)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	journal := fake.NewJournal()
	workers, tasks := 0, 0
	for _, size := range sizes {
		for ; workers < size.workers; workers++ {
			worker := fake.NewWorker(fake.WorkerOptions{
				Name: fmt.Sprintf("w%d", workers+1), Incarnation: 1,
				FailureDomain: fmt.Sprintf("d%d", workers%5), Rack: fmt.Sprintf("r%d", workers/8),
				Capacity: workerapi.Capacity{Processors: 64, MemoryBytes: 250e9},
				Entries:  append(c.platformURLs()[workers%8:], c.platformURLs()[:workers%8]...),
				Journal:  journal,
			})
			wait.Go(func() { worker.Run(ctx) })
		}
		c.declareBatchJobs(tasks, size.tasks)
		tasks = size.tasks
		started := time.Now()
		c.eventually(fmt.Sprintf("%d attempts", size.tasks), func() bool { return journal.Starts() >= size.tasks })
		fmt.Printf("all attempts started %.1f s after the last declaration\n", time.Since(started).Seconds())
		time.Sleep(settle)
		c.measure(fmt.Sprintf("%d workers %d tasks", size.workers, size.tasks), window)
	}
	c.measureUrgentDelay(journal)
	c.measureStartRate(journal)
	if violations := journal.Violations(); len(violations) > 0 {
		t.Fatal(violations[0])
	}
}

// useConfiguredBinaries uses the programs in the folder CAPACITY_BINARIES, if set.
func useConfiguredBinaries() {
	if folder := os.Getenv("CAPACITY_BINARIES"); folder != "" {
		binaries = folder
	}
}

// declareBatchJobs declares the jobs numbered from up to to (exclusive) with 64
// concurrent operators.
func (c *cluster) declareBatchJobs(from, to int) {
	started := time.Now()
	names := make(chan int)
	var wait sync.WaitGroup
	for range 64 {
		wait.Go(func() {
			for i := range names {
				reply, err := c.sendCommand(i%8, uuid.NewString(), fmt.Sprintf(`declare batch job-%d { processors 2 memory 4GiB class routing payload "{}" }`, i), "")
				if err != nil || reply.Outcome != "done" {
					c.t.Errorf("job %d: %v %+v", i, err, reply)
				}
			}
		})
	}
	for i := from; i < to; i++ {
		names <- i
	}
	close(names)
	wait.Wait()
	if to > from {
		fmt.Printf("declared %d jobs in %.1f s\n", to-from, time.Since(started).Seconds())
	}
	require.False(c.t, c.t.Failed())
}

// measureUrgentDelay prints the time from the declaration of an urgent job to its
// start on a worker.
func (c *cluster) measureUrgentDelay(journal *fake.Journal) {
	for i := range 30 {
		name := fmt.Sprintf("urgent-%d", i)
		started := time.Now()
		c.command(i%8, fmt.Sprintf(`declare batch %s { processors 2 memory 1GiB urgent payload "{}" }`, name))
		declared := time.Since(started)
		c.eventually(name+" runs", func() bool { return journal.Live(name) != "" })
		fmt.Printf("urgent: declared in %.0f ms, running after %.0f ms\n", 1000*declared.Seconds(), 1000*time.Since(started).Seconds())
	}
}

// measureStartRate measures the processes while 200 short jobs are declared per
// second.
func (c *cluster) measureStartRate(journal *fake.Journal) {
	const rate, seconds = 200, 20
	before := journal.Starts()
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wait sync.WaitGroup
		ticker := time.NewTicker(time.Second / rate)
		defer ticker.Stop()
		for i := range rate * seconds {
			<-ticker.C
			wait.Go(func() {
				text := fmt.Sprintf(`declare batch short-%d { processors 1 memory 1GiB class routing payload "{\"run_ms\": 2000}" }`, i)
				if reply, err := c.sendCommand(i%8, uuid.NewString(), text, ""); err != nil || reply.Outcome != "done" {
					c.t.Errorf("short job %d: %v %+v", i, err, reply)
				}
			})
		}
		wait.Wait()
	}()
	time.Sleep(3 * time.Second)
	c.measure(fmt.Sprintf("%d starts a second", rate), 15*time.Second)
	<-done
	started := time.Now()
	c.eventually("all short jobs started", func() bool { return journal.Starts() >= before+rate*seconds })
	fmt.Printf("the last short job started %.2f s after the last declaration\n", time.Since(started).Seconds())
}
