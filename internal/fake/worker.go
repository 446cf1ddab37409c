package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mangohill.example/mangohill/lease"
	"mangohill.example/mangohill/workerapi"
)

const (
	// workerHold is the time for which an idle worker lets the server hold a sync
	// open (long poll).
	workerHold = 5 * time.Second
	// workerRetryDelay is the pause after a failed sync.
	workerRetryDelay = 100 * time.Millisecond
	// syncTimeout is the time beyond the hold after which a sync fails.
	syncTimeout = 2 * time.Second
)

// WorkerOptions configures a fake worker.
type WorkerOptions struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Rack          string
	Capacity      workerapi.Capacity
	// Entries are the base URLs of the platform listeners on the entry hosts. After
	// a failed sync the worker tries the next one.
	Entries []string
	Journal *Journal
}

// Worker is a fake worker: it renews its lease, runs simulated tasks and refuses
// commands with an epoch lower than the highest it has seen for the task.
type Worker struct {
	options WorkerOptions
	client  *http.Client
	started time.Time
	wake    chan struct{}

	mu              sync.Mutex
	attempts        map[string]*attempt
	highestEpoch    map[string]uint64               // highest epoch seen for each task
	changes         map[string]workerapi.TaskStatus // latest status of each task, until an answer acknowledges it
	lease           lease.WorkerLease
	leaseTimer      *time.Timer // ends all attempts when the lease expires
	state           string
	sendFull        bool
	usageDue        time.Time
	usageIntervalMs int64
}

// NewWorker returns a worker that does nothing until Run is called.
func NewWorker(options WorkerOptions) *Worker {
	w := &Worker{
		options:      options,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		attempts:     make(map[string]*attempt),
		highestEpoch: make(map[string]uint64),
		changes:      make(map[string]workerapi.TaskStatus),
		state:        "ready",
		sendFull:     true,
	}
	w.leaseTimer = time.AfterFunc(time.Hour, w.endAllAttempts)
	w.leaseTimer.Stop()
	return w
}

// Leave makes the worker announce that it is leaving.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.state = "leaving"
	w.mu.Unlock()
	w.wakeSync()
}

// Run sends syncs until ctx ends, then ends all attempts.
func (w *Worker) Run(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; {
		entry := w.options.Entries[tries%len(w.options.Entries)]
		if err := w.syncOnce(ctx, entry); err != nil {
			tries++
			sleep(ctx, workerRetryDelay)
		}
	}
	w.endAllAttempts()
	w.leaseTimer.Stop()
	w.client.CloseIdleConnections()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// syncOnce sends one sync and executes the commands of its answer. If an attempt
// changes while the server holds the sync, syncOnce cancels it, so that the next
// sync reports the change immediately.
func (w *Worker) syncOnce(ctx context.Context, entry string) error {
	request := w.buildRequest()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+syncTimeout)
	defer cancel()
	interrupted := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.wake:
			close(interrupted)
			cancel()
		case <-stop:
		}
	}()
	answer, err := w.post(ctx, entry, request)
	if err != nil {
		w.mu.Lock()
		w.sendFull = w.sendFull || request.Full
		w.mu.Unlock()
		select {
		case <-interrupted:
			return nil
		default:
			return err
		}
	}
	w.handleAnswer(request, answer)
	return nil
}

func (w *Worker) nowMs() int64 { return time.Since(w.started).Milliseconds() }

func (w *Worker) buildRequest() workerapi.SyncRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	request := workerapi.SyncRequest{
		Incarnation: w.options.Incarnation,
		SentMs:      w.nowMs(),
		State:       w.state,
		Full:        w.sendFull,
		HoldMs:      workerHold.Milliseconds(),
	}
	if w.sendFull {
		request.FailureDomain = w.options.FailureDomain
		request.Rack = w.options.Rack
		request.Capacity = &w.options.Capacity
		for _, a := range w.attempts {
			request.Tasks = append(request.Tasks, a.status())
		}
	}
	for _, status := range w.changes {
		request.Tasks = append(request.Tasks, status)
	}
	if len(request.Tasks) > 0 || w.sendFull {
		request.HoldMs = 0
	}
	w.sendFull = false
	request.Usage = w.sampleUsage()
	return request
}

// sampleUsage returns usage samples if the interval has passed since the last ones.
// The caller holds w.mu.
func (w *Worker) sampleUsage() []workerapi.UsageSample {
	now := time.Now()
	if w.usageIntervalMs == 0 || now.Before(w.usageDue) {
		return nil
	}
	w.usageDue = now.Add(time.Duration(w.usageIntervalMs) * time.Millisecond)
	var samples []workerapi.UsageSample
	for _, a := range w.attempts {
		samples = append(samples, a.usage(w.nowMs()))
	}
	return samples
}

func (w *Worker) post(ctx context.Context, entry string, request workerapi.SyncRequest) (*workerapi.SyncResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("worker %q: encode sync: %w", w.options.Name, err)
	}
	url := fmt.Sprintf("%s/v1/workers/%s/sync", entry, w.options.Name)
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("worker %q: %w", w.options.Name, err)
	}
	post.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(post)
	if err != nil {
		return nil, fmt.Errorf("worker %q: %w", w.options.Name, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("worker %q: sync at %s: status %d", w.options.Name, entry, response.StatusCode)
	}
	var answer workerapi.SyncResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("worker %q: decode sync answer: %w", w.options.Name, err)
	}
	return &answer, nil
}

// handleAnswer removes the changes that the request reported, unless the task has
// changed since, extends the lease and executes the commands.
func (w *Worker) handleAnswer(request workerapi.SyncRequest, answer *workerapi.SyncResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sendFull = w.sendFull || answer.Resync
	w.usageIntervalMs = answer.UsageMs
	for _, sent := range request.Tasks {
		if current, ok := w.changes[sent.Task]; ok && current == sent {
			delete(w.changes, sent.Task)
		}
	}
	leased := w.extendLease(answer.Lease)
	for _, command := range answer.Commands {
		w.execute(command, leased)
	}
}

// extendLease extends the lease by a grant and reports whether the lease is valid.
func (w *Worker) extendLease(grant *workerapi.Lease) bool {
	if grant == nil {
		return false
	}
	w.lease.Extend(milliseconds(grant.CountedFromSentMs), milliseconds(grant.DurationMs))
	now := time.Since(w.started)
	if w.lease.Expired(now) {
		return false
	}
	w.leaseTimer.Reset(w.lease.Remaining(now))
	return true
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (w *Worker) endAllAttempts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		w.end(a, workerapi.AttemptStopped, "lease is over")
	}
}

// execute executes a command unless its epoch is stale. A start also needs a valid
// lease. The caller holds w.mu.
func (w *Worker) execute(command workerapi.Command, leased bool) {
	current := w.attempts[command.Task]
	if command.Epoch < w.highestEpoch[command.Task] {
		return
	}
	if command.Verb == "start" {
		if leased && command.Epoch > w.highestEpoch[command.Task] {
			w.start(command)
		}
		return
	}
	if current == nil || current.command.Epoch != command.Epoch {
		w.reportChange(workerapi.TaskStatus{Task: command.Task, Epoch: command.Epoch, State: workerapi.AttemptStopped, Reason: "not running here"})
		w.highestEpoch[command.Task] = command.Epoch
		return
	}
	switch command.Verb {
	case "throttle":
		current.throttled = true
		w.reportChange(current.status())
	case "unthrottle":
		current.throttled = false
		w.reportChange(current.status())
	case "checkpoint":
		w.end(current, workerapi.AttemptCheckpointed, "")
	case "stop":
		w.end(current, workerapi.AttemptStopped, "")
	}
}

// reportChange stores a status until a sync that carried it was answered, and wakes
// the sync loop.
func (w *Worker) reportChange(status workerapi.TaskStatus) {
	w.changes[status.Task] = status
	w.wakeSync()
}

func (w *Worker) wakeSync() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) start(command workerapi.Command) {
	w.highestEpoch[command.Task] = command.Epoch
	if old := w.attempts[command.Task]; old != nil {
		w.end(old, workerapi.AttemptStopped, "superseded")
	}
	a := newAttempt(command)
	w.attempts[command.Task] = a
	w.options.Journal.TaskStarted(command.Task, command.Epoch, w.options.Name)
	w.reportChange(a.status())
	if left, ends := a.remaining(); ends {
		a.timer = time.AfterFunc(left, func() { w.complete(a) })
	}
}

func (w *Worker) complete(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts[a.command.Task] != a {
		return
	}
	if a.work.Fail {
		w.end(a, workerapi.AttemptFailed, "exit status 1")
		return
	}
	w.end(a, workerapi.AttemptFinished, "")
}

func (w *Worker) end(a *attempt, state, reason string) {
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(w.attempts, a.command.Task)
	w.options.Journal.TaskEnded(a.command.Task, a.command.Epoch, w.options.Name, state == workerapi.AttemptFinished)
	status := workerapi.TaskStatus{Task: a.command.Task, Epoch: a.command.Epoch, State: state, Reason: reason}
	if state == workerapi.AttemptCheckpointed {
		status.Checkpoint = a.checkpoint()
	}
	w.reportChange(status)
}
