package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/workerapi"
)

type workersCommand struct {
	Platform     []string `long:"platform" value-name:"HOST:PORT" required:"true" description:"platform listener of an entry host; may be repeated"`
	Count        int      `long:"count" default:"4" description:"number of workers"`
	Prefix       string   `long:"prefix" default:"w" description:"prefix of the workers' names"`
	Domains      []string `long:"domain" default:"pt-norte" default:"pt-centro" description:"failure domains, taken in turn"`
	PerRack      int      `long:"per-rack" default:"8" description:"workers in a rack"`
	Processors   float64  `long:"processors" default:"64"`
	MemoryBytes  int64    `long:"memory-bytes" default:"250000000000"`
	Accelerators int64    `long:"accelerators" default:"0"`
}

// Execute runs the workers until a signal. It fails if the journal of their attempts
// shows a violation.
func (c *workersCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	journal := fake.NewJournal()
	c.run(ctx, journal)
	fmt.Printf("attempts started: %d\n", journal.Starts())
	violations := journal.Violations()
	for _, text := range violations {
		fmt.Fprintln(os.Stderr, "violation:", text)
	}
	if len(violations) > 0 {
		return errors.New("attempts violated guarantees of the platform, as listed above")
	}
	return nil
}

func (c *workersCommand) run(ctx context.Context, journal *fake.Journal) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range c.Count {
		worker := fake.NewWorker(c.workerOptions(i, journal))
		wait.Go(func() { worker.Run(ctx) })
	}
}

func (c *workersCommand) workerOptions(i int, journal *fake.Journal) fake.WorkerOptions {
	return fake.WorkerOptions{
		Name:          fmt.Sprintf("%s%d", c.Prefix, i+1),
		Incarnation:   uint64(time.Now().UnixMilli()),
		FailureDomain: c.Domains[i%len(c.Domains)],
		Rack:          fmt.Sprintf("r%d", i/c.PerRack+1),
		Capacity:      workerapi.Capacity{Processors: c.Processors, MemoryBytes: c.MemoryBytes, Accelerators: c.Accelerators},
		Entries:       baseURLs(c.Platform),
		Journal:       journal,
	}
}

func baseURLs(addresses []string) []string {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		urls = append(urls, "http://"+strings.TrimPrefix(address, "http://"))
	}
	return urls
}
