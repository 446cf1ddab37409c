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
	// maxSyncBytes bounds the body of a sync request.
	maxSyncBytes = 1 << 20
	// maxNameBytes bounds the name of a worker.
	maxNameBytes = 64
	// retryAfterSeconds is the Retry-After header of a sync refused with status 503.
	retryAfterSeconds = "1"

	stateReady   = "ready"
	stateLeaving = "leaving"
)

func refuseMethod(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	kind.WriteProblem(w, kind.Errorf(kind.MethodNotAllowed, "%s accepts POST, not %s", r.URL.Path, r.Method))
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
		kind.WriteProblem(w, kind.Errorf(kind.Internal, "encode the sync answer: %w", err))
		return
	}
	s.count(func(m *Metrics) { m.SyncBytesOut += uint64(len(body)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // A worker that misses the answer syncs again.
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
	s.recordRenewal(waiting.worker, request)
	s.wait(r.Context(), waiting, request.HoldMs)
	if err := r.Context().Err(); err != nil {
		return nil, kind.Errorf(kind.Canceled, "sync of worker %q: %w", name, err)
	}
	return s.answer(waiting), nil
}

func (s *Service) readSync(name string, r *http.Request) (*workerapi.SyncRequest, error) {
	if len(name) > maxNameBytes {
		return nil, kind.Errorf(kind.BadRequest, "worker name of %d bytes exceeds the limit of %d bytes", len(name), maxNameBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxSyncBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kind.Errorf(kind.BodyTooLarge, "sync request of worker %q exceeds %d bytes", name, maxSyncBytes)
	}
	if err != nil {
		return nil, kind.Errorf(kind.BadRequest, "read the sync request of worker %q: %w", name, err)
	}
	s.count(func(m *Metrics) { m.SyncBytesIn += uint64(len(body)) })
	var request workerapi.SyncRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, kind.Errorf(kind.BadRequest, "decode the sync request of worker %q: %w", name, err)
	}
	if err := validateSync(name, &request); err != nil {
		return nil, err
	}
	return &request, nil
}

func validateSync(name string, request *workerapi.SyncRequest) error {
	if request.State != "" && request.State != stateReady && request.State != stateLeaving {
		return kind.Errorf(kind.BadRequest, "worker %q: state %q is neither ready nor leaving", name, request.State)
	}
	if request.Full && request.Capacity == nil {
		return kind.Errorf(kind.BadRequest, "worker %q: a full sync needs the capacity", name)
	}
	if request.Capacity != nil && request.Capacity.Resources().IsNegative() {
		return kind.Errorf(kind.BadRequest, "worker %q: the capacity has a negative value", name)
	}
	for _, task := range request.Tasks {
		switch task.State {
		case workerapi.AttemptRunning, workerapi.AttemptThrottled, workerapi.AttemptCheckpointed,
			workerapi.AttemptFinished, workerapi.AttemptFailed, workerapi.AttemptStopped:
		default:
			return kind.Errorf(kind.BadRequest, "worker %q: task %q has the unknown state %q", name, task.Task, task.State)
		}
	}
	return nil
}

// wait holds the sync until there is something to answer, but no longer than the
// worker and the leader allow.
func (s *Service) wait(ctx context.Context, waiting *pendingSync, holdMs int64) {
	s.mu.Lock()
	hold := time.Duration(min(holdMs, s.holdMs)) * time.Millisecond
	s.mu.Unlock()
	timer := time.NewTimer(max(hold, 0))
	defer timer.Stop()
	for !s.canAnswer(waiting) {
		select {
		case <-waiting.wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reportOf translates a sync into a report for the leader. It returns nil if the sync
// contains only a lease renewal.
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
	report.Usage = w.usage.selectChanged(s.now(), usage)
	s.metrics.UsageSkipped += uint64(len(usage) - len(report.Usage))
	leaving := sync.State == stateLeaving
	announcesLeaving := leaving && !w.leaving
	if announcesLeaving && sync.Capacity == nil {
		w.resync = true // The registration needs the capacity, which a full sync contains.
	}
	if sync.Full || (announcesLeaving && sync.Capacity != nil) {
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
