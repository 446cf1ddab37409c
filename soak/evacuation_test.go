package soak

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// domains are the failure domains of the workers, in turn.
var domains = [...]string{"za", "zb"}

// domain returns the failure domain of the worker.
func (w *worker) domain() string { return domains[int(w.id[len(w.id)-1])%len(domains)] }

const (
	// evacuateLimit is the time after the confirmation of an evacuation from which on no worker
	// of the domain may start a task.
	evacuateLimit = 5 * time.Second
	// ackLimit is the time within which an order must be confirmed.
	ackLimit = 5 * time.Second
)

// operateDomains evacuates one domain after the other, each for longer than evacuateLimit, until
// done is closed. The last one is restored.
func (f *fleet) operateDomains(seed uint64, done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.IntN(1500)) * time.Millisecond):
		}
		domain := domains[rng.IntN(len(domains))]
		if !f.reserveDomain(&f.evacuated, &f.isolated, domain) {
			continue
		}
		restored := f.checks.beginFault(f.checks.domains[domain])
		f.orderUntilConfirmed(rng, http.MethodPost, domain)
		f.checks.mu.Lock()
		f.checks.evacuatedAt[domain] = time.Now()
		f.checks.mu.Unlock()
		select {
		case <-done:
		case <-time.After(evacuateLimit + time.Duration(rng.IntN(3000))*time.Millisecond):
		}
		f.checks.mu.Lock()
		delete(f.checks.evacuatedAt, domain)
		f.checks.mu.Unlock()
		f.orderUntilConfirmed(rng, http.MethodDelete, domain)
		restored()
		f.releaseDomain(&f.evacuated)
	}
}

// orderUntilConfirmed sends an order to any control host until it is confirmed.
func (f *fleet) orderUntilConfirmed(rng *rand.Rand, method, domain string) {
	client := &http.Client{Timeout: time.Second}
	begin := time.Now()
	for time.Since(begin) < settleTimeout {
		status, _ := call(client, method, "http://"+f.controlAddresses()[rng.IntN(controlCount)]+"/-/evacuate/"+domain, "")
		if status == http.StatusOK {
			if took := time.Since(begin); took > ackLimit {
				f.checks.addViolation("%s of domain %s was confirmed after %v", method, domain, took)
			}
			f.checks.mu.Lock()
			f.checks.confirmed++
			f.checks.mu.Unlock()
			return
		}
		if status >= 400 && status < 500 {
			f.checks.addViolation("%s of domain %s was refused with status %d", method, domain, status)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.checks.addViolation("%s of domain %s was not confirmed", method, domain)
}

// checkDomain checks that a worker may start a task as far as its domain is concerned. The caller
// holds the lock.
func (c *checks) checkDomain(task string, w *worker) {
	if at, evacuated := c.evacuatedAt[w.domain()]; evacuated && time.Since(at) > evacuateLimit {
		c.addViolationLocked("task %s starts on %s %v after the evacuation of %s was confirmed", task, w.id, time.Since(at), w.domain())
	}
}
