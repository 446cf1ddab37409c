package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mangohill.example/mangohill/internal/fake"
)

type targetsCommand struct {
	Platform []string      `long:"platform" value-name:"HOST:PORT" required:"true" description:"platform listener of an entry host; may be repeated"`
	Service  string        `long:"service" default:"quote" description:"service that the targets serve"`
	Count    int           `long:"count" default:"4" description:"number of targets"`
	Slots    int           `long:"slots" default:"8" description:"requests that a target serves at a time"`
	Delay    time.Duration `long:"delay" default:"5ms" description:"time that a request runs"`
	Domains  []string      `long:"domain" default:"pt-norte" default:"pt-centro" description:"failure domains, taken in turn"`
}

// Execute runs the targets until a signal, then announces that they leave and stops
// them.
func (c *targetsCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var targets []*fake.Target
	for i := range c.Count {
		target, err := fake.StartTarget(c.targetOptions(i))
		if err != nil {
			return fmt.Errorf("start target %d: %w", i+1, err)
		}
		targets = append(targets, target)
	}
	<-ctx.Done()
	total := 0
	for _, target := range targets {
		c.leaveAndStop(target)
		total += target.TotalRuns()
	}
	fmt.Printf("requests run: %d\n", total)
	return nil
}

func (c *targetsCommand) leaveAndStop(target *fake.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = target.Leave(ctx) // The entry hosts may have stopped already.
	target.Stop()
}

func (c *targetsCommand) targetOptions(i int) fake.TargetOptions {
	platforms := make([]string, 0, len(c.Platform))
	for _, address := range c.Platform {
		platforms = append(platforms, strings.TrimPrefix(address, "http://"))
	}
	return fake.TargetOptions{
		Name:          fmt.Sprintf("%s-%d", c.Service, i+1),
		Service:       c.Service,
		FailureDomain: c.Domains[i%len(c.Domains)],
		Incarnation:   uint64(time.Now().UnixMilli()),
		Slots:         c.Slots,
		Platforms:     platforms,
		Delay:         c.Delay,
	}
}
