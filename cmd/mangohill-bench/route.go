package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"mangohill.example/mangohill/internal/callload"
)

// routeOptions are the options of the sub-command route.
type routeOptions struct {
	Seconds   float64   `long:"seconds" default:"8" description:"virtual seconds that count"`
	Seed      uint64    `long:"seed" default:"1" description:"seed of the workload"`
	Loads     []float64 `long:"load" description:"offered load as a share of the capacity; may be repeated"`
	Scenarios []string  `long:"scenario" description:"scenario by name; may be repeated"`
	Policies  []string  `long:"way" description:"way by name; may be repeated"`
	Parallel  int       `long:"parallel" default:"3" description:"runs at a time"`
}

func init() {
	register("route", "compare ways of routing requests to targets", &routeOptions{})
}

// Execute runs the comparison and prints a table for each scenario.
func (o *routeOptions) Execute([]string) error {
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.5, 0.8, 0.95, 1.1}
	}
	for _, scenario := range callload.Scenarios {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, scenario.Name) {
			continue
		}
		for _, load := range o.Loads {
			if err := printRoute(scenario.Name, load, o.run(scenario, load)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (o *routeOptions) run(scenario callload.Scenario, load float64) []*callload.Result {
	var policies []callload.Policy
	for _, policy := range callload.Policies {
		if policy == callload.Central || len(o.Policies) == 0 || slices.Contains(o.Policies, string(policy)) {
			policies = append(policies, policy)
		}
	}
	results := make([]*callload.Result, len(policies))
	semaphore := make(chan struct{}, max(o.Parallel, 1))
	var wait sync.WaitGroup
	for i, policy := range policies {
		wait.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			config := callload.Default()
			config.Policy, config.Load, config.Seed = policy, load, o.Seed
			config.Duration = time.Duration(o.Seconds * float64(time.Second))
			scenario.Apply(&config)
			results[i] = callload.Run(config)
		})
	}
	wait.Wait()
	return results
}

func printRoute(scenario string, load float64, results []*callload.Result) error {
	fmt.Printf("\n%s, load %.0f%%\n", scenario, load*100)
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "way\tp50 ms\tp99 ms\tp99.9 ms\tp99 ratio\tdelay p50\tdelay p99\tdelay p99.9\trefused\tlost\thops\thedges\tpeak\tgoodput/s\tmsg/s/host\tB/s/host\t")
	reference := float64(results[0].Quantile(99)) // Policy Central always comes first.
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.3f\t%s\t%s\t%s\t%.2f%%\t%d\t%.1f%%\t%.1f%%\t%d\t%.0f\t%.0f\t%.0f\t\n",
			r.Config.Policy, ms(r.Quantile(50)), ms(r.Quantile(99)), ms(r.Quantile(99.9)), float64(r.Quantile(99))/reference,
			ms(r.DelayQuantile(50)), ms(r.DelayQuantile(99)), ms(r.DelayQuantile(99.9)), 100*r.RefusedShare(), r.Lost,
			100*r.HopShare(), 100*r.HedgeShare(), r.Peak, r.Goodput(), r.HostMessages(), r.HostBytes())
	}
	return table.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }
