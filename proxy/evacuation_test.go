package proxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/proxy"
)

// Guards against new requests to targets of an evacuated domain, against requests in flight
// there that are cut off, and against callers that wait for targets that get no request.
func TestTargetsOfAnEvacuatedDomainGetNoNewRequest(t *testing.T) {
	var evacuated atomic.Value
	evacuated.Store("")
	hosts := startHosts(t, 2, proxy.Options{Evacuated: func(domain string) bool { return domain != "" && domain == evacuated.Load() }})
	evacuate := func(domain string) {
		evacuated.Store(domain)
		for _, h := range hosts {
			h.proxy.RefreshTargets()
		}
	}
	slow := startTarget(t, hosts, fake.TargetOptions{Name: "t1", FailureDomain: "a", Slots: 8, Delay: 300 * time.Millisecond})
	waitForTargets(t, hosts, 1)
	inFlight := make(chan reply, 1)
	go func() { inFlight <- ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, nil) }()
	require.Eventually(t, func() bool { return slow.PeakInFlight() == 1 }, 10*time.Second, time.Millisecond)
	evacuate("a")
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			for _, load := range h.proxy.Loads() {
				if load.Slots != 0 {
					return false
				}
			}
		}
		return true
	}, 10*time.Second, time.Millisecond, "no slot of the domain is offered to peers")
	answered := <-inFlight
	assert.Equal(t, "done", answered.outcome(), string(answered.body))

	refused := ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, nil)
	assert.Equal(t, http.StatusServiceUnavailable, refused.status)
	assert.Equal(t, "not-run", refused.outcome())
	assert.NotEmpty(t, refused.header.Get("Retry-After"))

	other := startTarget(t, hosts, fake.TargetOptions{Name: "t2", FailureDomain: "b", Slots: 8})
	waitForTargets(t, hosts, 2)
	for i := range 20 {
		assert.Equal(t, "done", ask(hosts[i%2], http.MethodPost, "/v1/services/quote/", nil, nil).outcome())
	}
	assert.Equal(t, 1, slow.PeakInFlight())
	assert.Positive(t, other.PeakInFlight())
	evacuate("b")
	assert.Equal(t, "done", ask(hosts[0], http.MethodPost, "/v1/services/quote/", nil, nil).outcome(), "the restored domain serves")
}
