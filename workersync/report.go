package workersync

import (
	"context"
	"slices"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workerapi"
)

// queuedReport is a report that waits to be sent to the leader.
type queuedReport struct {
	report *controlapi.WorkerReport
	done   chan reportResult
}

type reportResult struct {
	resync bool
	stale  bool
	err    error
}

// report sends the changes in a sync to the leader and waits until they are
// replicated. After an error the worker repeats the sync.
func (s *Service) report(ctx context.Context, name string, w *workerState, sync *workerapi.SyncRequest) error {
	report := s.reportOf(name, w, sync)
	if report == nil {
		return nil
	}
	queued := &queuedReport{report: report, done: make(chan reportResult, 1)}
	select {
	case s.reports <- queued:
	default:
		return kind.Errorf(kind.Overloaded, "entry host %q: the queue of %d reports is full", s.options.Entry, reportQueueCapacity)
	}
	select {
	case result := <-queued.done:
		return s.applyReportResult(name, w, report, result)
	case <-s.stopped:
		return kind.Errorf(kind.Stopping, "entry host %q is stopping", s.options.Entry)
	case <-ctx.Done():
		return kind.Errorf(kind.Canceled, "sync of worker %q: %w", name, ctx.Err())
	}
}

func (s *Service) applyReportResult(name string, w *workerState, report *controlapi.WorkerReport, result reportResult) error {
	if result.err != nil {
		return result.err
	}
	if result.stale {
		return kind.Errorf(kind.StaleIncarnation, "worker %q: a newer incarnation than %d is registered", name, report.Incarnation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.resync {
		w.resync = true
		return nil
	}
	if report.Registration != nil {
		w.resync = false
		w.leaving = report.Registration.Leaving
	}
	return nil
}

// reportLoop sends the queued reports. Reports that arrive while a call is in progress
// are batched into the next call.
func (s *Service) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.reports:
			s.sendReports(ctx, s.collectBatch(first))
		}
	}
}

func (s *Service) collectBatch(first *queuedReport) []*queuedReport {
	batch := []*queuedReport{first}
	for len(batch) < maxReportBatch {
		select {
		case next := <-s.reports:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (s *Service) sendReports(ctx context.Context, batch []*queuedReport) {
	args := &controlapi.ReportArgs{Entry: s.options.Entry}
	for _, queued := range batch {
		args.Syncs = append(args.Syncs, *queued.report)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply := new(controlapi.ReportReply)
	err := s.options.Caller.Call(ctx, "Control.Report", args, reply)
	s.count(func(m *Metrics) {
		m.Reports++
		if err != nil {
			m.ReportErrors++
		}
	})
	for _, queued := range batch {
		name := queued.report.Worker
		queued.done <- reportResult{
			resync: slices.Contains(reply.Resync, name),
			stale:  slices.Contains(reply.Stale, name),
			err:    asUnavailable(err),
		}
	}
}

// asUnavailable converts an error of the control group to one with status 503, which
// tells the worker to repeat its sync. Repeating a sync is always safe.
func asUnavailable(err error) error {
	if err == nil || kind.Of(err).Answer().Status == 503 {
		return err
	}
	return kind.Errorf(kind.NoQuorum, "the leader did not confirm the report: %w", err)
}
