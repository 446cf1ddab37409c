package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"mangohill.example/mangohill/load"
)

type loadCommand struct {
	Callers     []string      `long:"callers" value-name:"HOST:PORT" required:"true" description:"callers' listener of an entry host; may be repeated"`
	Service     string        `long:"service" default:"quote"`
	Rate        float64       `long:"rate" default:"200" description:"mean requests a second"`
	Requests    int           `long:"requests" default:"1000" description:"number of requests"`
	Concurrency int           `long:"concurrency" default:"256" description:"bound on requests under way"`
	Bookings    bool          `long:"bookings" description:"send non-idempotent requests with keys"`
	Timeout     time.Duration `long:"timeout" default:"2s" description:"time that a caller waits"`
	Seed        uint64        `long:"seed" default:"1"`
}

// Execute sends the load and prints the result as JSON.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	result, err := load.Run(ctx, load.Options{
		EntryURLs:     baseURLs(c.Callers),
		Service:       c.Service,
		Rate:          c.Rate,
		Requests:      c.Requests,
		Concurrency:   c.Concurrency,
		NonIdempotent: c.Bookings,
		Timeout:       c.Timeout,
		Seed:          c.Seed,
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return err
	}
	if result.Mismatched > 0 {
		return fmt.Errorf("%d answers did not belong to their request", result.Mismatched)
	}
	return nil
}
