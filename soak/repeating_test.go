package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// repeatingJob is the ID of a job that repeats repeats times, each repeatPeriod.
	repeatingJob = "0000000f00000001"
	repeats      = 20_000
	repeatPeriod = 500 * time.Millisecond
	// shortRepeats is how often one job in ten of the other callers repeats.
	shortRepeats = 5
)

// schedule returns the fields of a job that repeats from now on.
func schedule(times int, period time.Duration) string {
	return fmt.Sprintf(`,"Repeats":%d,"FirstMs":%d,"PeriodMs":%d`, times, time.Now().UnixMilli(), period.Milliseconds())
}

// runRepeatingJob submits a job that repeats for hours and cancels it once done is closed. All
// occurrences that were due for settleTimeout must have started.
func (f *fleet) runRepeatingJob(done <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	f.checks.mu.Lock()
	f.checks.submitted[repeatingJob] = true
	f.checks.mu.Unlock()
	firstAt := time.Now()
	job := fmt.Sprintf(`{"Spec":"spec-%s","Phases":[{"Count":1,"Cpu":1000,"MemMb":10,"EstimateMs":150}]%s}`, repeatingJob, schedule(repeats, repeatPeriod))
	if !f.sendUntilDone(client, http.MethodPost, repeatingJob, job) {
		f.checks.addViolation("a job that repeats %d times was not accepted in time", repeats)
		return
	}
	<-done
	due := int((time.Since(firstAt) - settleTimeout) / repeatPeriod)
	if !f.sendUntilDone(client, http.MethodDelete, repeatingJob, "") {
		f.checks.addViolation("the cancellation of a job that repeats was not acknowledged in time")
		return
	}
	f.checks.mu.Lock()
	defer f.checks.mu.Unlock()
	f.checks.cancelled[repeatingJob] = time.Now()
	for occurrence := range due {
		task := fmt.Sprintf("%s.%d.0.0", repeatingJob, occurrence)
		if f.checks.startedAt[task].IsZero() {
			f.checks.addViolationLocked("task %s did not start within %v after its time", task, settleTimeout)
		}
	}
}

// sendUntilDone repeats a request for a job until it is answered with 200, for
// settleTimeout at most.
func (f *fleet) sendUntilDone(client *http.Client, method, id, body string) bool {
	for n, deadline := 0, time.Now().Add(settleTimeout); time.Now().Before(deadline); n++ {
		url := "http://" + f.ip(controlCount+n%entryCount) + ":8161/q/" + id
		if status, _ := call(client, method, url, body); status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
