package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"mangohill.example/mangohill/internal/fleet"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/schedule"
)

func init() {
	register("schedule", "Measure scheduling decisions on fleets in virtual time", &scheduleOptions{})
}

// scheduleOptions are the options of the sub-command schedule.
type scheduleOptions struct {
	Users    []string      `long:"user" description:"fleet to measure: association or consortium" default:"association" default:"consortium"`
	Policies []string      `long:"policy" description:"policy to measure: first-fit, no-learning, cautious, learned or oracle" default:"first-fit" default:"no-learning" default:"cautious" default:"learned" default:"oracle"`
	Seeds    int           `long:"seeds" description:"number of seeds, from 1" default:"3"`
	Faults   string        `long:"faults" description:"comma-separated disturbances: shift, waves, wrong, workers, jobs, cancel, rack, urgent, or all" default:"all"`
	Duration time.Duration `long:"duration" description:"virtual time of a run" default:"4h"`
	JSON     bool          `long:"json" description:"print JSON lines"`
	CSV      bool          `long:"csv" description:"print comma-separated values"`
	Parallel int           `long:"parallel" description:"runs at the same time" default:"2"`
}

// scheduleRow is one line of the table. Its values are means over the seeds, except
// WorstP99, ServiceStart and UrgentStart, which are those of the worst seed.
type scheduleRow struct {
	User             string  `json:"user"`
	Policy           string  `json:"policy"`
	P99              float64 `json:"p99_against_alone"`
	WorstP99         float64 `json:"p99_against_alone_worst_seed"`
	Slow             float64 `json:"slow_share"`
	Throughput       float64 `json:"batch_throughput"`
	Evictions        float64 `json:"evictions"`
	Kills            float64 `json:"kills"`
	Throttles        float64 `json:"throttles"`
	LostHours        float64 `json:"lost_processor_hours"`
	ServiceStart     float64 `json:"service_start_max_seconds"`
	UrgentStart      float64 `json:"urgent_start_max_seconds"`
	Rejected         float64 `json:"rejected"`
	Failures         float64 `json:"failures"`
	Quarantines      float64 `json:"quarantines"`
	WrongQuarantines float64 `json:"wrong_quarantines"`
	Parks            float64 `json:"parks"`
	WrongParks       float64 `json:"wrong_parks"`
}

// Execute implements flags.Commander.
func (o *scheduleOptions) Execute([]string) error {
	faults, err := parseFaults(o.Faults)
	if err != nil {
		return err
	}
	var rows []scheduleRow
	for _, user := range o.Users {
		for _, policy := range o.Policies {
			row, err := o.measure(user, policy, faults)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
	}
	return o.print(rows)
}

func (o *scheduleOptions) measure(user, policy string, faults fleet.Faults) (scheduleRow, error) {
	results := make([]*fleet.Result, o.Seeds)
	var group errgroup.Group
	group.SetLimit(o.Parallel)
	for i := range o.Seeds {
		group.Go(func() error {
			spec, err := fleetSpec(user, uint64(i+1))
			if err != nil {
				return err
			}
			spec.Faults = faults
			spec.Duration = o.Duration
			results[i], err = runPolicy(&spec, policy)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return scheduleRow{}, err
	}
	return summarize(user, policy, results), nil
}

func fleetSpec(user string, seed uint64) (fleet.Spec, error) {
	switch user {
	case "association":
		return fleet.Association(seed), nil
	case "consortium":
		return fleet.Consortium(seed), nil
	}
	return fleet.Spec{}, kind.Errorf(kind.BadRequest, "user %q is unknown", user)
}

func runPolicy(spec *fleet.Spec, policy string) (*fleet.Result, error) {
	options := schedule.Options{Seed: spec.Seed}
	switch policy {
	case "first-fit":
		options.FirstFit = true
	case "no-learning":
		options.Model = fleet.NewBlind(spec, fleet.BlindBold)
	case "cautious":
		options.Model = fleet.NewBlind(spec, fleet.BlindCautious)
	case "learned":
	case "oracle":
		options.Model = fleet.NewOracle(spec)
	default:
		return nil, kind.Errorf(kind.BadRequest, "policy %q is unknown", policy)
	}
	f := fleet.New(spec, schedule.New(options))
	f.Run()
	return &f.Result, nil
}

// parseFaults parses a comma-separated list of names of faults.
func parseFaults(text string) (fleet.Faults, error) {
	var f fleet.Faults
	for _, word := range strings.Split(text, ",") {
		all := word == "all"
		known := all || word == "" || word == "none"
		enable := func(name string, apply func()) {
			if all || word == name {
				known = true
				apply()
			}
		}
		enable("shift", func() { f.LoadShift = true })
		enable("waves", func() { f.ArrivalBursts = true })
		enable("wrong", func() { f.WrongDeclarations = true })
		enable("workers", func() { f.BadWorkers = 2 })
		enable("jobs", func() { f.BadJobs = 0.01 })
		enable("cancel", func() { f.CancelBursts = true })
		enable("rack", func() { f.RackLoss = true })
		enable("urgent", func() { f.UrgentEvery = 5 * time.Minute })
		if !known {
			return f, kind.Errorf(kind.BadRequest, "fault %q is unknown", word)
		}
	}
	return f, nil
}

func summarize(user, policy string, results []*fleet.Result) scheduleRow {
	row := scheduleRow{User: user, Policy: policy}
	n := float64(len(results))
	for _, r := range results {
		row.P99 += r.WorstP99() / n
		row.WorstP99 = max(row.WorstP99, r.WorstP99())
		row.Slow += r.SlowShare() / n
		row.Throughput += r.Throughput() / n
		row.Evictions += float64(r.Evictions) / n
		row.Kills += float64(r.Kills) / n
		row.Throttles += float64(r.Throttles) / n
		row.LostHours += r.Lost.Hours() / n
		row.ServiceStart = max(row.ServiceStart, r.ServiceStart().Seconds())
		row.UrgentStart = max(row.UrgentStart, r.UrgentStart().Seconds())
		row.Rejected += float64(r.Rejected) / n
		row.Failures += float64(r.Failures) / n
		row.Quarantines += float64(r.Quarantines) / n
		row.WrongQuarantines += float64(r.WrongQuarantines) / n
		row.Parks += float64(r.Parks) / n
		row.WrongParks += float64(r.WrongParks) / n
	}
	return row
}

func (o *scheduleOptions) print(rows []scheduleRow) error {
	if o.JSON {
		return printJSON(rows)
	}
	separator := "\t"
	if o.CSV {
		separator = ","
	}
	var text strings.Builder
	fmt.Fprintln(&text, strings.ReplaceAll("user policy p99/alone worst-seed slow throughput evictions kills throttles lost-h service-start-s urgent-start-s rejected failures quarantined(wrong) parked(wrong)", " ", separator))
	for _, r := range rows {
		fmt.Fprintln(&text, strings.Join(r.cells(), separator))
	}
	if o.CSV {
		_, err := os.Stdout.WriteString(text.String())
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprint(table, strings.ReplaceAll(text.String(), "\n", "\t\n")); err != nil {
		return err
	}
	return table.Flush()
}

func (r scheduleRow) cells() []string {
	return []string{
		r.User, r.Policy,
		fmt.Sprintf("%.3f", r.P99), fmt.Sprintf("%.3f", r.WorstP99), fmt.Sprintf("%.3f", r.Slow), fmt.Sprintf("%.3f", r.Throughput),
		fmt.Sprintf("%.1f", r.Evictions), fmt.Sprintf("%.1f", r.Kills), fmt.Sprintf("%.1f", r.Throttles), fmt.Sprintf("%.1f", r.LostHours),
		fmt.Sprintf("%.1f", r.ServiceStart), fmt.Sprintf("%.1f", r.UrgentStart), fmt.Sprintf("%.1f", r.Rejected), fmt.Sprintf("%.1f", r.Failures),
		fmt.Sprintf("%.1f(%.1f)", r.Quarantines, r.WrongQuarantines), fmt.Sprintf("%.1f(%.1f)", r.Parks, r.WrongParks),
	}
}

func printJSON(rows []scheduleRow) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, r := range rows {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return nil
}
