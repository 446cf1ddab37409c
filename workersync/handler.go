package workersync

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/workerapi"
)

const (
	// maxSyncBytes bounds the body of a sync.
	maxSyncBytes = 1 << 20
	// maxNameBytes bounds a worker's name.
	maxNameBytes = 64
	// retryAfterSeconds is the advice on a refused sync.
	retryAfterSeconds = "1"

	stateReady   = "ready"
	stateLeaving = "leaving"
)

func refuseMethod(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	kind.WriteProblem(w, kind.Errorf(kind.MethodNotAllowed, "%s takes POST, not %s", r.URL.Path, r.Method))
}

func (s *Service) serveSync(w http.ResponseWriter, r *http.Request) {
	answer, err := s.sync(r)
	if err != nil {
		if kind.Of(err).Answer().Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfterSeconds)
		}
		kind.WriteProblem(w, err)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		kind.WriteProblem(w, kind.Errorf(kind.Internal, "encode the answer: %w", err))
		return
	}
	s.count(func(m *Metrics) { m.SyncBytesOut += uint64(len(body)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // A worker that is gone syncs again.
}

func (s *Service) sync(r *http.Request) (*workerapi.SyncResponse, error) {
	name := r.PathValue("worker")
	request, err := s.readSync(name, r)
	if err != nil {
		return nil, err
	}
	waiting, err := s.admit(name, request)
	if err != nil {
		return nil, err
	}
	if err := s.report(r.Context(), name, waiting.worker, request); err != nil {
		return nil, err
	}
	s.requestRenewal(waiting.worker, request)
	s.wait(r.Context(), waiting, request.HoldMs)
	if err := r.Context().Err(); err != nil {
		return nil, kind.Errorf(kind.Canceled, "sync of worker %q: %w", name, err)
	}
	return s.answer(waiting), nil
}

func (s *Service) readSync(name string, r *http.Request) (*workerapi.SyncRequest, error) {
	if len(name) > maxNameBytes {
		return nil, kind.Errorf(kind.BadRequest, "worker name of %d bytes exceeds %d", len(name), maxNameBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxSyncBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kind.Errorf(kind.BodyTooLarge, "sync of worker %q exceeds %d bytes", name, maxSyncBytes)
	}
	if err != nil {
		return nil, kind.Errorf(kind.BadRequest, "sync of worker %q: %w", name, err)
	}
	s.count(func(m *Metrics) { m.SyncBytesIn += uint64(len(body)) })
	var request workerapi.SyncRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, kind.Errorf(kind.BadRequest, "sync of worker %q: %w", name, err)
	}
	if err := check(name, &request); err != nil {
		return nil, err
	}
	return &request, nil
}

func check(name string, request *workerapi.SyncRequest) error {
	if request.State != "" && request.State != stateReady && request.State != stateLeaving {
		return kind.Errorf(kind.BadRequest, "worker %q: state %q is neither ready nor leaving", name, request.State)
	}
	if request.Full && request.Capacity == nil {
		return kind.Errorf(kind.BadRequest, "worker %q: a full sync needs the capacity", name)
	}
	if request.Capacity != nil && request.Capacity.Resources().IsNegative() {
		return kind.Errorf(kind.BadRequest, "worker %q: the capacity is negative", name)
	}
	for _, task := range request.Tasks {
		switch task.State {
		case workerapi.AttemptRunning, workerapi.AttemptThrottled, workerapi.AttemptCheckpointed,
			workerapi.AttemptFinished, workerapi.AttemptFailed, workerapi.AttemptStopped:
		default:
			return kind.Errorf(kind.BadRequest, "worker %q: task %q has state %q", name, task.Task, task.State)
		}
	}
	return nil
}

// wait holds the sync until there is something to answer.
func (s *Service) wait(ctx context.Context, waiting *waiter, holdMs int64) {
	s.mu.Lock()
	hold := time.Duration(min(holdMs, s.holdMs)) * time.Millisecond
	s.mu.Unlock()
	timer := time.NewTimer(max(hold, 0))
	defer timer.Stop()
	for !s.ready(waiting) {
		select {
		case <-waiting.wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reportOf translates a sync; it returns nil if nothing in it concerns the
// leader beside the renewal.
func (s *Service) reportOf(name string, w *workerState, sync *workerapi.SyncRequest) *controlapi.WorkerReport {
	report := &controlapi.WorkerReport{Worker: name, Incarnation: sync.Incarnation, Full: sync.Full}
	for _, task := range sync.Tasks {
		report.Tasks = append(report.Tasks, controlapi.TaskReport(task))
	}
	usage := make([]controlapi.UsageReport, 0, len(sync.Usage))
	for i := range sync.Usage {
		usage = append(usage, usageOf(&sync.Usage[i], sync.SentMs))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(usage) > 0 {
		w.samples = len(usage)
	}
	report.Usage = w.usage.pass(s.now(), usage)
	s.metrics.UsageSkipped += uint64(len(usage) - len(report.Usage))
	leaving := sync.State == stateLeaving
	announces := leaving && !w.leaving
	if announces && sync.Capacity == nil {
		w.resync = true // The announcement needs a full sync.
	}
	if sync.Full || (announces && sync.Capacity != nil) {
		report.Registration = registrationOf(name, sync)
	}
	if report.Registration == nil && len(report.Tasks) == 0 && len(report.Usage) == 0 {
		return nil
	}
	return report
}

func registrationOf(name string, sync *workerapi.SyncRequest) *controlapi.Registration {
	return &controlapi.Registration{
		Worker:        name,
		Incarnation:   sync.Incarnation,
		FailureDomain: sync.FailureDomain,
		Rack:          sync.Rack,
		Capacity:      sync.Capacity.Resources(),
		Leaving:       sync.State == stateLeaving,
	}
}
