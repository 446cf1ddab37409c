package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/proxy"
)

// bareForwarder is the least that forwards a request with net/http.
type bareForwarder struct {
	address   string
	transport http.RoundTripper
}

func (f bareForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = f.address
	out.URL.Path = strings.TrimPrefix(r.URL.Path, "/v1/services/quote")
	out.RequestURI = ""
	response, err := f.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// cost is what one request costs the process: client, forwarder and target.
type cost struct {
	allocations, bytes, processor float64
}

func measure(t *testing.T, url string, requests int) cost {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	one := func() {
		response, err := client.Get(url)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close() // It was read whole.
	}
	for range 100 {
		one()
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := processorTime()
	for range requests {
		one()
	}
	used := processorTime() - start
	runtime.ReadMemStats(&after)
	n := float64(requests)
	return cost{float64(after.Mallocs-before.Mallocs) / n, float64(after.TotalAlloc-before.TotalAlloc) / n, float64(used) / n}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestCostBesideABareForwarder compares the allocations of a request with those
// through a bare forwarder, in one run with the same client and target. The
// client and the target are in both figures.
func TestCostBesideABareForwarder(t *testing.T) {
	hosts := startHosts(t, 1, proxy.Options{})
	target := startTarget(t, nil, fake.TargetOptions{Name: "t1"})
	hosts[0].proxy.SetTarget(target.Record())
	bare := httptest.NewServer(bareForwarder{address: target.Address(), transport: &http.Transport{}})
	defer bare.Close()
	direct := measure(t, "http://"+target.Address()+"/ask", 3000)
	without := measure(t, bare.URL+"/v1/services/quote/ask", 3000)
	with := measure(t, hosts[0].callers.URL+"/v1/services/quote/ask", 3000)
	for _, row := range []struct {
		name          string
		with, without float64
	}{
		{"allocations", with.allocations - direct.allocations, without.allocations - direct.allocations},
		{"bytes", with.bytes - direct.bytes, without.bytes - direct.bytes},
		{"processor ns", with.processor - direct.processor, without.processor - direct.processor},
	} {
		t.Logf("%s a request: %.0f, bare %.0f, ratio %.2f", row.name, row.with, row.without, row.with/row.without)
		if row.name != "processor ns" {
			assert.Less(t, row.with/row.without, 1.5, row.name)
		}
	}
}
