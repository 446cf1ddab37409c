package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

const (
	// maxRecordedLatencyUs is the largest latency that the histogram records, in
	// microseconds.
	maxRecordedLatencyUs = int64(60 * time.Second / time.Microsecond)
	// histogramDigits is the number of significant digits of recorded latencies.
	histogramDigits = 3
	// echoedPathHeader is the header in which a stand-in target returns the path and
	// query of the request.
	echoedPathHeader = "X-Path"
	// maxAnswerBytes bounds how much of an answer is read.
	maxAnswerBytes = 1 << 20
)

// Options configures a run.
type Options struct {
	// EntryURLs are the base URLs of the entry hosts' listeners for callers, used
	// round-robin.
	EntryURLs []string
	Service   string
	// Rate is the mean number of requests a second.
	Rate float64
	// Requests is the total number of requests.
	Requests int
	// Concurrency bounds the requests in flight; an arrival above it is counted as
	// skipped.
	Concurrency int
	// NonIdempotent makes every request a POST with its own idempotency key.
	NonIdempotent bool
	// Timeout is sent in the header field Mangohill-Timeout-Ms.
	Timeout time.Duration
	Seed    uint64
	// Progress, if set, is called after every request with the number of requests
	// that have ended.
	Progress func(done int)
}

// Result is the outcome of a run. Skipped counts arrivals above Options.Concurrency,
// Errors requests without a whole answer. Latencies are those of outcome done.
type Result struct {
	Service  string         `json:"service"`
	Sent     int            `json:"sent"`
	Skipped  int            `json:"skipped"`
	Outcomes map[string]int `json:"outcomes"`
	Statuses map[int]int    `json:"statuses"`
	// Mismatched counts answers that do not name the ID of their request.
	Mismatched   int     `json:"wrong"`
	Errors       int     `json:"errors"`
	P50Ms        float64 `json:"p50_ms"`
	P99Ms        float64 `json:"p99_ms"`
	P999Ms       float64 `json:"p99_9_ms"`
	Seconds      float64 `json:"seconds"`
	FirstFailure string  `json:"first_bad,omitempty"`
	// Keys lists the idempotency keys of non-idempotent requests with outcome done.
	Keys []string `json:"-"`
}

type runner struct {
	options   Options
	client    *http.Client
	mu        sync.Mutex
	result    Result
	histogram *hdrhistogram.Histogram
	finished  int
}

// Run sends the requests and waits for their answers. It returns the error of ctx
// if ctx ends before all requests are sent.
func Run(ctx context.Context, options Options) (Result, error) {
	r := &runner{
		options:   options,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Concurrency}},
		histogram: hdrhistogram.New(1, maxRecordedLatencyUs, histogramDigits),
		result:    Result{Service: options.Service, Outcomes: make(map[string]int), Statuses: make(map[int]int)},
	}
	defer r.client.CloseIdleConnections()
	startedAt := time.Now()
	err := r.sendAll(ctx, startedAt)
	r.result.Seconds = time.Since(startedAt).Seconds()
	r.result.P50Ms = r.quantileMs(50)
	r.result.P99Ms = r.quantileMs(99)
	r.result.P999Ms = r.quantileMs(99.9)
	return r.result, err
}

func (r *runner) quantileMs(q float64) float64 {
	return float64(r.histogram.ValueAtQuantile(q)) / 1000
}

func (r *runner) sendAll(ctx context.Context, startedAt time.Time) error {
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	slots := make(chan struct{}, r.options.Concurrency)
	var wait sync.WaitGroup
	defer wait.Wait()
	var offset time.Duration
	for i := range r.options.Requests {
		offset += time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second))
		plannedAt := startedAt.Add(offset)
		if err := sleepUntil(ctx, plannedAt); err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
		default:
			r.result.Skipped++
			continue
		}
		r.result.Sent++
		wait.Go(func() {
			r.sendAndCheck(ctx, i, plannedAt)
			<-slots
		})
	}
	return nil
}

func sleepUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *runner) sendAndCheck(ctx context.Context, i int, plannedAt time.Time) {
	id := uuid.NewString()
	response, body, err := r.send(ctx, i, id)
	elapsed := time.Since(plannedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
	if r.options.Progress != nil {
		r.options.Progress(r.finished)
	}
	if err != nil {
		r.result.Errors++
		r.recordFailure(fmt.Sprintf("request %s: %v", id, err))
		return
	}
	r.recordAnswer(id, response, body, elapsed)
}

func (r *runner) recordAnswer(id string, response *http.Response, body string, elapsed time.Duration) {
	outcome := response.Header.Get("Mangohill-Outcome")
	r.result.Outcomes[outcome]++
	r.result.Statuses[response.StatusCode]++
	if outcome != "done" {
		r.recordFailure(fmt.Sprintf("request %s: status %d: %s", id, response.StatusCode, body))
		return
	}
	if err := r.histogram.RecordValue(max(1, elapsed.Microseconds())); err != nil {
		r.recordFailure(err.Error())
	}
	if !strings.Contains(body+response.Header.Get(echoedPathHeader), id) {
		r.result.Mismatched++
		r.recordFailure(fmt.Sprintf("request %s: the answer does not name it: %.200s", id, body))
		return
	}
	if r.options.NonIdempotent {
		r.result.Keys = append(r.result.Keys, id)
	}
}

func (r *runner) recordFailure(text string) {
	if r.result.FirstFailure == "" {
		r.result.FirstFailure = text
	}
}

func (r *runner) send(ctx context.Context, i int, id string) (*http.Response, string, error) {
	entry := r.options.EntryURLs[i%len(r.options.EntryURLs)]
	method := http.MethodGet
	var payload io.Reader
	if r.options.NonIdempotent {
		method = http.MethodPost
		payload = strings.NewReader("booking " + id)
	}
	url := fmt.Sprintf("%s/v1/services/%s/echo?id=%s", entry, r.options.Service, id)
	request, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, "", err
	}
	request.Header.Set("Mangohill-Request-Id", id)
	request.Header.Set("Mangohill-Timeout-Ms", fmt.Sprint(r.options.Timeout.Milliseconds()))
	if r.options.NonIdempotent {
		request.Header.Set("Idempotency-Key", id)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response, string(body), err
}
