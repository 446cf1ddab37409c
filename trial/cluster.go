package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/node"
	"mangohill.example/mangohill/settings"
	"mangohill.example/mangohill/workerapi"
)

// Size and timing of the cluster.
const (
	entryCount        = 2
	targetsPerService = 4
	workerCount       = 4
	workerProcessors  = 16
	workerMemoryBytes = 64 << 30
	stopTimeout       = 10 * time.Second
	pollInterval      = 20 * time.Millisecond
	// maxStartAttempts bounds the search for unused loopback addresses, which are
	// chosen at random.
	maxStartAttempts = 5
)

// services are the names of the services whose targets are simulated.
var services = []string{"quote", "booking"}

// cluster is the running system with its simulated targets and workers.
type cluster struct {
	dataDir       string
	addressPrefix string // first three bytes of the loopback addresses, such as 127.1.2
	control       *node.Control
	entries       []*node.Entry
	targets       []*fake.Target
	journal       *fake.Journal
	cancel        context.CancelFunc
	workers       sync.WaitGroup
}

// startCluster starts the system at loopback addresses that no other process uses.
func startCluster() (*cluster, error) {
	var lastErr error
	for range maxStartAttempts {
		c, err := startOnce()
		if err == nil {
			return c, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func startOnce() (*cluster, error) {
	dataDir, err := os.MkdirTemp("", "mangohill-try-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		dataDir:       dataDir,
		addressPrefix: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
		journal:       fake.NewJournal(),
	}
	if err := c.start(); err != nil {
		return nil, errors.Join(err, c.stop())
	}
	return c, nil
}

func (c *cluster) start() error {
	var err error
	c.control, err = node.StartControl(node.ControlOptions{Settings: c.settings("control-1", 21), Bootstrap: true, Logger: zerolog.Nop()})
	if err != nil {
		return err
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i+1)
		entry, err := node.StartEntry(node.EntryOptions{Settings: c.settings(name, 11+i), Logger: zerolog.Nop()})
		if err != nil {
			return err
		}
		c.entries = append(c.entries, entry)
	}
	if err := c.startTargets(); err != nil {
		return err
	}
	c.startWorkers()
	return nil
}

func (c *cluster) settings(name string, host int) *settings.Settings {
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", c.addressPrefix, host, port) }
	s := &settings.Settings{
		Cluster:       "try",
		Name:          name,
		FailureDomain: "local",
		Listen:        settings.Listen{Callers: address(8080), Platform: address(8081), Operators: address(8082), Peers: address(7400)},
		Control:       []string{c.addressPrefix + ".21:7400"},
		Data:          filepath.Join(c.dataDir, name),
		StopTimeout:   stopTimeout,
	}
	for i := range entryCount {
		s.Entries = append(s.Entries, fmt.Sprintf("%s.%d:7400", c.addressPrefix, 11+i))
	}
	return s
}

// addresses returns the address of each entry host with the given port.
func (c *cluster) addresses(port int) []string {
	var list []string
	for i := range entryCount {
		list = append(list, fmt.Sprintf("%s.%d:%d", c.addressPrefix, 11+i, port))
	}
	return list
}

func (c *cluster) urls(port int) []string {
	list := c.addresses(port)
	for i := range list {
		list[i] = "http://" + list[i]
	}
	return list
}

func (c *cluster) startTargets() error {
	for _, service := range services {
		for i := range targetsPerService {
			target, err := fake.StartTarget(fake.TargetOptions{
				Name:          fmt.Sprintf("%s-%d", service, i+1),
				Service:       service,
				FailureDomain: "local",
				Incarnation:   1,
				Platforms:     c.addresses(8081),
				Delay:         2 * time.Millisecond,
			})
			if err != nil {
				return err
			}
			c.targets = append(c.targets, target)
		}
	}
	return nil
}

func (c *cluster) startWorkers() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i := range workerCount {
		worker := fake.NewWorker(fake.WorkerOptions{
			Name:          fmt.Sprintf("w%d", i+1),
			Incarnation:   1,
			FailureDomain: "local",
			Rack:          fmt.Sprintf("r%d", i/2+1),
			Capacity:      workerapi.Capacity{Processors: workerProcessors, MemoryBytes: workerMemoryBytes},
			Entries:       c.urls(8081),
			Journal:       c.journal,
		})
		c.workers.Go(func() { worker.Run(ctx) })
	}
}

// awaitReady waits until every entry host is ready and sees every target as ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	return waitUntil(ctx, func() bool {
		for _, entry := range c.entries {
			if !entry.Ready() || entry.ReadyTargets() < len(c.targets) {
				return false
			}
		}
		return true
	})
}

// waitUntil polls condition until it holds. It returns an error if ctx ends first.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (c *cluster) stop() error {
	var errs []error
	if c.cancel != nil {
		c.cancel()
	}
	c.workers.Wait()
	for _, target := range c.targets {
		target.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, entry := range c.entries {
		errs = append(errs, entry.Stop(ctx))
	}
	if c.control != nil {
		c.control.Stop()
	}
	errs = append(errs, os.RemoveAll(c.dataDir))
	return errors.Join(errs...)
}
