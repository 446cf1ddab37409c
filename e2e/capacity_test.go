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

// clockTicks is the unit of the processor times in /proc (USER_HZ).
const clockTicks = 100

// spent is what a process used so far.
type spent struct {
	cpu   time.Duration
	bytes int64
	rss   int64
}

func (p *process) spent() spent {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	return spent{cpu: cpuTime(folder), bytes: field(folder+"io", "rchar:") + field(folder+"io", "wchar:"), rss: field(folder+"status", "VmRSS:") * 1024}
}

func cpuTime(folder string) time.Duration {
	data, _ := os.ReadFile(folder + "stat") // A process that is gone spent nothing more.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

func field(path, name string) int64 {
	data, _ := os.ReadFile(path) // As above.
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			value, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return value
		}
	}
	return 0
}

// measure prints what each process spends a second over the window.
func (c *cluster) measure(what string, window time.Duration) {
	all := append(append([]*process{}, c.control...), c.entries...)
	before := make([]spent, len(all))
	for i, p := range all {
		before[i] = p.spent()
	}
	time.Sleep(window)
	for i, p := range all {
		now := p.spent()
		seconds := window.Seconds()
		fmt.Printf("%-28s %-10s cpu %5.2f %%  read+written %7.1f KB/s  rss %5.1f MB\n", what, p.name,
			100*(now.cpu-before[i].cpu).Seconds()/seconds, float64(now.bytes-before[i].bytes)/1000/seconds, float64(now.rss)/1e6)
	}
}

// TestCapacity prints what control and entry processes spend as workers and
// running tasks grow. It has no verdict: docs/CAPACITY.md is worked out from its
// figures. Programs are built with the race detector unless CAPACITY_BINARIES
// names a folder with others. CAPACITY_LARGEST measures only the largest size,
// CAPACITY_WINDOW after and over such a time in place of 5 s and 20 s.
func TestCapacity(t *testing.T) {
	useBinaries()
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
				Entries:  append(c.platforms()[workers%8:], c.platforms()[:workers%8]...),
				Journal:  journal,
			})
			wait.Go(func() { worker.Run(ctx) })
		}
		c.declareMany(tasks, size.tasks)
		tasks = size.tasks
		begun := time.Now()
		c.eventually(fmt.Sprintf("%d attempts", size.tasks), func() bool { return journal.Starts() >= size.tasks })
		fmt.Printf("all attempts started %.1f s after the last declaration\n", time.Since(begun).Seconds())
		time.Sleep(settle)
		c.measure(fmt.Sprintf("%d workers %d tasks", size.workers, size.tasks), window)
	}
	c.measureUrgent(journal)
	c.measureStarts(journal)
	if violations := journal.Violations(); len(violations) > 0 {
		t.Fatal(violations[0])
	}
}

// useBinaries takes the programs that CAPACITY_BINARIES names.
func useBinaries() {
	if folder := os.Getenv("CAPACITY_BINARIES"); folder != "" {
		binaries = folder
	}
}

// declareMany declares batch jobs from 64 operators at a time.
func (c *cluster) declareMany(from, to int) {
	begun := time.Now()
	names := make(chan int)
	var wait sync.WaitGroup
	for range 64 {
		wait.Go(func() {
			for i := range names {
				reply, err := c.try(i%8, uuid.NewString(), fmt.Sprintf(`declare batch job-%d { processors 2 memory 4GiB class routing payload "{}" }`, i), "")
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
		fmt.Printf("declared %d jobs in %.1f s\n", to-from, time.Since(begun).Seconds())
	}
	require.False(c.t, c.t.Failed())
}

// measureUrgent prints how long urgent jobs wait from their declaration to
// their start on a worker.
func (c *cluster) measureUrgent(journal *fake.Journal) {
	for i := range 30 {
		name := fmt.Sprintf("urgent-%d", i)
		begun := time.Now()
		c.command(i%8, fmt.Sprintf(`declare batch %s { processors 2 memory 1GiB urgent payload "{}" }`, name))
		declared := time.Since(begun)
		c.eventually(name+" runs", func() bool { return journal.Live(name) != "" })
		fmt.Printf("urgent: declared in %.0f ms, running after %.0f ms\n", 1000*declared.Seconds(), 1000*time.Since(begun).Seconds())
	}
}

// measureStarts declares 200 short jobs a second for a while and measures.
func (c *cluster) measureStarts(journal *fake.Journal) {
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
				if reply, err := c.try(i%8, uuid.NewString(), text, ""); err != nil || reply.Outcome != "done" {
					c.t.Errorf("short job %d: %v %+v", i, err, reply)
				}
			})
		}
		wait.Wait()
	}()
	time.Sleep(3 * time.Second)
	c.measure(fmt.Sprintf("%d starts a second", rate), 15*time.Second)
	<-done
	begun := time.Now()
	c.eventually("all short jobs started", func() bool { return journal.Starts() >= before+rate*seconds })
	fmt.Printf("the last short job started %.2f s after the last declaration\n", time.Since(begun).Seconds())
}
