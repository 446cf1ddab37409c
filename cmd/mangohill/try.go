package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"golang.org/x/term"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/load"
	"mangohill.example/mangohill/table"
	"mangohill.example/mangohill/trial"
)

// clearLine moves the cursor to the start of the terminal's line and clears it.
const clearLine = "\r\x1b[K"

// runTry runs a trial cluster in this process and prints the report. It returns
// kind.ExitDone only if nothing was lost or run twice.
func runTry(_ []string, jsonOutput bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := trial.Run(ctx, progressLine())
	if term.IsTerminal(int(os.Stderr.Fd())) {
		fmt.Fprint(os.Stderr, clearLine)
	}
	if err != nil {
		return fail(err, kind.ExitRefused)
	}
	if jsonOutput {
		err = table.WriteJSON(os.Stdout, report)
	} else {
		err = printTrial(report)
	}
	if err != nil {
		return fail(err, kind.ExitRefused)
	}
	if len(report.Problems) > 0 {
		return kind.ExitRefused
	}
	return kind.ExitDone
}

// progressLine returns a function that shows the progress on standard error, or nil
// if that is no terminal.
func progressLine() func(string) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	return func(text string) { fmt.Fprint(os.Stderr, clearLine+text) }
}

func printTrial(report trial.Report) error {
	sections := []struct {
		title string
		rows  []controlapi.Row
	}{
		{"Requests", requestRows(report.Requests)},
		{"Tasks by state", taskCountRows(report.Tasks)},
		{"Placements", report.Placements},
		{"Service-level burn", report.Burn},
	}
	for _, section := range sections {
		fmt.Printf("\n%s\n", section.title)
		if err := table.Write(os.Stdout, section.rows, terminalWidth()); err != nil {
			return err
		}
	}
	fmt.Println()
	for _, problem := range report.Problems {
		fmt.Println("PROBLEM:", problem)
	}
	if len(report.Problems) == 0 {
		fmt.Println("nothing was lost or run twice")
	}
	return nil
}

func requestRows(results []load.Result) []controlapi.Row {
	var rows []controlapi.Row
	for _, r := range results {
		rows = append(rows, controlapi.Row{
			{Name: "service", Value: r.Service},
			{Name: "sent", Value: int64(r.Sent)},
			{Name: "done", Value: int64(r.Outcomes["done"])},
			{Name: "not_run", Value: int64(r.Outcomes["not-run"])},
			{Name: "unknown", Value: int64(r.Outcomes["unknown"])},
			{Name: "p50_ms", Value: r.P50Ms},
			{Name: "p99_ms", Value: r.P99Ms},
		})
	}
	return rows
}

func taskCountRows(counts map[string]int) []controlapi.Row {
	var states []string
	for state := range counts {
		states = append(states, state)
	}
	slices.Sort(states)
	var rows []controlapi.Row
	for _, state := range states {
		rows = append(rows, controlapi.Row{
			{Name: "state", Value: state},
			{Name: "tasks", Value: int64(counts[state])},
		})
	}
	return rows
}
