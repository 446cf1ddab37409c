package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"mangohill.example/mangohill/types"
	"mangohill.example/mangohill/workerapi"
)

// Announce sends one announcement to the next platform address in turn. It returns
// the time within which the platform expects the next announcement.
func (t *Target) Announce(ctx context.Context) (time.Duration, error) {
	record := t.Record()
	body, err := json.Marshal(workerapi.Announcement{
		Service: record.Service, Address: record.Address, FailureDomain: record.FailureDomain, Incarnation: record.Incarnation,
		Slots: record.Slots, Connections: record.Connections, State: string(record.State), InFlight: record.InFlight,
	})
	if err != nil {
		return 0, err
	}
	response, err := t.call(ctx, http.MethodPut, "", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // The body was read or is not needed.
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("announcement of %q: status %d", record.Name, response.StatusCode)
	}
	var answer workerapi.AnnouncementResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return 0, err
	}
	return time.Duration(answer.AnnounceWithinMs) * time.Millisecond, nil
}

func (t *Target) call(ctx context.Context, method, query string, body io.Reader) (*http.Response, error) {
	platforms := t.options.Platforms
	address := platforms[t.nextPlatform.Add(1)%uint64(len(platforms))]
	url := "http://" + address + "/v1/targets/" + t.options.Name + query
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	return t.client.Do(request)
}

// announceLoop repeats the announcement at half the interval that the platform
// expects, and 200 ms after a failure.
func (t *Target) announceLoop(ctx context.Context) {
	defer t.wait.Done()
	for {
		within, err := t.Announce(ctx)
		if err != nil {
			within = 400 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(within / 2):
		}
	}
}

// Leave announces the state "leaving" until an entry host has confirmed it. If ctx
// ends first, Leave returns the error of ctx.
func (t *Target) Leave(ctx context.Context) error {
	t.mu.Lock()
	t.state = types.TargetLeaving
	t.mu.Unlock()
	for {
		if _, err := t.Announce(ctx); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Withdraw removes the registration of the target from the platform.
func (t *Target) Withdraw(ctx context.Context) error {
	query := "?incarnation=" + strconv.FormatUint(t.options.Incarnation, 10)
	response, err := t.call(ctx, http.MethodDelete, query, nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // The response has no body.
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("withdrawal of %q: status %d", t.options.Name, response.StatusCode)
	}
	return nil
}
