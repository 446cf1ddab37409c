package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/capacity"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/table"
)

func init() {
	register("capacity", "Measure the slopes of docs/CAPACITY.md", &capacityOptions{})
	register("watch", "Measure what running processes use", &watchOptions{})
}

// capacityOptions are the options of the sub-command capacity.
type capacityOptions struct {
	For  time.Duration `long:"for" description:"time of each measurement of the replication; 0 leaves it out" default:"5s"`
	JSON bool          `long:"json" description:"print JSON lines"`
}

// Execute implements flags.Commander.
func (o *capacityOptions) Execute([]string) error {
	slopes, err := o.measure()
	if err != nil {
		return err
	}
	rows := make([]controlapi.Row, 0, len(slopes))
	for _, slope := range slopes {
		rows = append(rows, controlapi.Row{
			{Name: "slope", Value: slope.Name}, {Name: "value", Value: round1(slope.Value)}, {Name: "unit", Value: slope.Unit},
		})
	}
	return printRows(rows, o.JSON)
}

func (o *capacityOptions) measure() ([]capacity.Slope, error) {
	slopes, err := capacity.Messages()
	if err != nil {
		return nil, err
	}
	states, err := capacity.State()
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, states...)
	if o.For == 0 {
		return slopes, nil
	}
	for _, members := range []int{3, 5} {
		more, err := capacity.Replication(context.Background(), members, o.For)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
	}
	return slopes, nil
}

// watchOptions are the options of the sub-command watch.
type watchOptions struct {
	Processes []string      `long:"process" value-name:"NAME=PID" required:"true" description:"process to watch; may be repeated"`
	For       time.Duration `long:"for" description:"time between the two readings" default:"20s"`
	JSON      bool          `long:"json" description:"print JSON lines"`
}

// Execute implements flags.Commander.
func (o *watchOptions) Execute([]string) error {
	processes, err := o.parse()
	if err != nil {
		return err
	}
	for i := range processes {
		if processes[i].first, err = capacity.ReadProcess(processes[i].pid); err != nil {
			return err
		}
	}
	time.Sleep(o.For)
	rows := make([]controlapi.Row, 0, len(processes))
	for _, p := range processes {
		last, err := capacity.ReadProcess(p.pid)
		if err != nil {
			return err
		}
		rows = append(rows, usageRow(p.name, last.Since(p.first)))
	}
	return printRows(rows, o.JSON)
}

// watchedProcess is a process with the first reading of its resource use.
type watchedProcess struct {
	name  string
	pid   int
	first capacity.Sample
}

func (o *watchOptions) parse() ([]watchedProcess, error) {
	var list []watchedProcess
	for _, text := range o.Processes {
		name, pidText, _ := strings.Cut(text, "=")
		pid, err := strconv.Atoi(pidText)
		if err != nil {
			return nil, kind.Errorf(kind.BadRequest, "process %q is not NAME=PID", text)
		}
		list = append(list, watchedProcess{name: name, pid: pid})
	}
	return list, nil
}

func usageRow(name string, usage capacity.Usage) controlapi.Row {
	return controlapi.Row{
		{Name: "process", Value: name},
		{Name: "core_percent", Value: round1(100 * usage.Core)},
		{Name: "resident_mb", Value: round1(float64(usage.ResidentBytes) / 1e6)},
		{Name: "peak_mb", Value: round1(float64(usage.PeakBytes) / 1e6)},
		{Name: "read_kb_s", Value: round1(usage.ReadPerSecond / 1e3)},
		{Name: "written_kb_s", Value: round1(usage.WrittenPerSecond / 1e3)},
	}
}

// round1 rounds to one decimal place.
func round1(x float64) float64 { return math.Round(10*x) / 10 }

func printRows(rows []controlapi.Row, asJSON bool) error {
	if !asJSON {
		return table.Write(os.Stdout, rows, 0)
	}
	for _, row := range rows {
		if err := table.WriteJSON(os.Stdout, row); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
	return nil
}
