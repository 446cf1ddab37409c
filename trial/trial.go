package trial

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/load"
)

// Load of the trial. Rates are mean requests per second; concurrency bounds the
// requests in flight.
const (
	quoteRequests   = 2000
	quoteRate       = 1000
	bookingRequests = 200
	bookingRate     = 100
	concurrency     = 200
	requestTimeout  = 5 * time.Second
	batchJobs       = 6
	// batchRunMs is the run time of a simulated batch job in milliseconds.
	batchRunMs = 300
	// runTimeout bounds the whole trial.
	runTimeout = 2 * time.Minute
)

// Report is the result of a trial. Tasks counts the tasks by state; Burn holds the
// rows of the command "report burn".
type Report struct {
	Requests   []load.Result    `json:"requests"`
	Tasks      map[string]int   `json:"tasks"`
	Placements []controlapi.Row `json:"placements"`
	Burn       []controlapi.Row `json:"burn"`
	// Problems lists the violated guarantees: what was lost, run twice or answered
	// wrongly.
	Problems []string `json:"problems"`
}

// Run runs the trial. It passes texts that describe its progress to progress, which
// may be nil. An error means that the trial could not be carried out.
func Run(ctx context.Context, progress func(text string)) (Report, error) {
	if progress == nil {
		progress = func(string) {}
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	progress("starting 1 control process, 2 entry hosts and stand-ins")
	c, err := startCluster()
	if err != nil {
		return Report{}, err
	}
	report, err := c.run(ctx, progress)
	if stopErr := c.stop(); err == nil && stopErr != nil {
		err = fmt.Errorf("stop the cluster: %w", stopErr)
	}
	return report, err
}

func (c *cluster) run(ctx context.Context, progress func(string)) (Report, error) {
	var report Report
	if err := c.awaitReady(ctx); err != nil {
		return report, fmt.Errorf("wait until the entry hosts are ready: %w", err)
	}
	if err := c.declare(ctx); err != nil {
		return report, err
	}
	if err := c.load(ctx, &report, progress); err != nil {
		return report, err
	}
	progress("waiting for the batch jobs")
	if err := c.awaitBatchJobs(ctx); err != nil {
		report.Problems = append(report.Problems, fmt.Sprintf("batch jobs did not finish: %v", err))
	}
	if err := c.collectReport(ctx, &report); err != nil {
		return report, err
	}
	c.checkGuarantees(&report)
	return report, nil
}

func (c *cluster) declare(ctx context.Context) error {
	const config = "services:\n" +
		"  quote: {timeout: 5s, queue_limit: 500, objective: {p99: 50ms, success: 0.999}}\n" +
		"  booking: {timeout: 5s, queue_limit: 500, objective: {p99: 200ms, success: 0.9995}}\n" +
		"weights: {tail_latency: 5, evictions: 2, throughput: 1}\n"
	if _, err := c.command(ctx, "set config from FILE if version 1", config); err != nil {
		return err
	}
	if _, err := c.command(ctx, "declare service quote { replicas 2 processors 4 memory 8GiB class quote objective p99 50ms }", ""); err != nil {
		return err
	}
	for i := range batchJobs {
		text := fmt.Sprintf("declare batch route-%d { processors 6 memory 8GiB class routing expected 1m payload %q }", i+1, fmt.Sprintf(`{"run_ms": %d}`, batchRunMs))
		if _, err := c.command(ctx, text, ""); err != nil {
			return err
		}
	}
	return nil
}

// command sends a command to one entry host after the other until it has an
// outcome.
func (c *cluster) command(ctx context.Context, text, file string) (controlapi.CommandReply, error) {
	args := controlapi.CommandArgs{ID: uuid.NewString(), Text: text, File: file}
	for attempt := 0; ; attempt++ {
		reply, err := c.entries[attempt%len(c.entries)].Execute(ctx, args)
		if err != nil && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return reply, fmt.Errorf("command %q: %w", text, err)
		}
		if reply.Outcome != "done" {
			return reply, fmt.Errorf("command %q: %s: %s", text, reply.Kind, reply.Message)
		}
		return reply, nil
	}
}

func (c *cluster) load(ctx context.Context, report *Report, progress func(string)) error {
	loads := []load.Options{
		{Service: "quote", Rate: quoteRate, Requests: quoteRequests},
		{Service: "booking", Rate: bookingRate, Requests: bookingRequests, NonIdempotent: true},
	}
	for i, plan := range loads {
		plan.EntryURLs = c.urls(8080)
		plan.Concurrency = concurrency
		plan.Timeout = requestTimeout
		plan.Seed = uint64(i + 1)
		plan.Progress = func(done int) {
			if done%100 == 0 {
				progress(fmt.Sprintf("%s: %d of %d requests answered", plan.Service, done, plan.Requests))
			}
		}
		result, err := load.Run(ctx, plan)
		if err != nil {
			return fmt.Errorf("load on service %q: %w", plan.Service, err)
		}
		report.Requests = append(report.Requests, result)
	}
	return nil
}

func (c *cluster) awaitBatchJobs(ctx context.Context) error {
	return waitUntil(ctx, func() bool {
		reply, err := c.command(ctx, "show tasks where kind = batch and state = finished", "")
		return err == nil && len(reply.Rows) == batchJobs
	})
}

func (c *cluster) collectReport(ctx context.Context, report *Report) error {
	tasks, err := c.command(ctx, "show tasks", "")
	if err != nil {
		return err
	}
	report.Tasks = make(map[string]int)
	for _, row := range tasks.Rows {
		report.Tasks[fmt.Sprint(row.Get("state"))]++
	}
	if err := c.explainPlacements(ctx, report, tasks.Rows); err != nil {
		return err
	}
	burn, err := c.command(ctx, "report burn", "")
	if err != nil {
		return err
	}
	report.Burn = burn.Rows
	return nil
}

// explainPlacements adds a row for each task to the report: its state and why it
// was placed where it is.
func (c *cluster) explainPlacements(ctx context.Context, report *Report, tasks []controlapi.Row) error {
	for _, row := range tasks {
		name := fmt.Sprint(row.Get("task"))
		reply, err := c.command(ctx, "why "+name, "")
		if err != nil {
			return err
		}
		report.Placements = append(report.Placements, controlapi.Row{
			{Name: "task", Value: name},
			{Name: "state", Value: row.Get("state")},
			{Name: "epoch", Value: row.Get("epoch")},
			{Name: "why", Value: placementReason(reply.Rows)},
		})
	}
	return nil
}

// placementReason returns the line of an explanation that names the chosen host.
func placementReason(rows []controlapi.Row) string {
	for _, row := range rows {
		text := strings.TrimPrefix(fmt.Sprint(row.Get("why")), "last start: ")
		if strings.HasPrefix(text, "host ") {
			return text
		}
	}
	return ""
}

// checkGuarantees compares the responses that callers got with what the simulated
// targets and workers ran.
func (c *cluster) checkGuarantees(report *Report) {
	for _, result := range report.Requests {
		c.checkResult(report, result)
	}
	for i := range batchJobs {
		task := fmt.Sprintf("route-%d", i+1)
		if runs := c.journal.Finished(task); runs != 1 {
			report.Problems = append(report.Problems, fmt.Sprintf("task %q finished %d times", task, runs))
		}
	}
	report.Problems = append(report.Problems, c.journal.Violations()...)
}

func (c *cluster) checkResult(report *Report, result load.Result) {
	if result.Mismatched > 0 || result.Errors > 0 {
		report.Problems = append(report.Problems, fmt.Sprintf("service %q: %d wrong answers, %d broken ones: %s", result.Service, result.Mismatched, result.Errors, result.FirstFailure))
	}
	for _, key := range result.Keys {
		runs := 0
		for _, target := range c.targets {
			runs += target.Runs(key)
		}
		if runs != 1 {
			report.Problems = append(report.Problems, fmt.Sprintf("booking %s ran %d times", key, runs))
		}
	}
}
