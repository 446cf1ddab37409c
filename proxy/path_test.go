package proxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/proxy"
)

func TestRequestThroughAHostTheTargetDidNotAnnounceTo(t *testing.T) {
	hosts := startHosts(t, 2, proxy.Options{})
	startTarget(t, hosts[1:], fake.TargetOptions{Name: "t1"})
	waitForTargets(t, hosts, 1)
	for _, h := range hosts {
		got := ask(h, http.MethodPost, "/v1/services/quote/a%2Fb//c?x=1", []byte("hello"), http.Header{proxy.HeaderRequestID: {"r1"}})
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status, string(got.body))
		assert.Equal(t, "hello", string(got.body))
		assert.Equal(t, "done", got.outcome())
		assert.Equal(t, "t1", got.header.Get(proxy.HeaderTarget))
		assert.Equal(t, "1", got.header.Get(proxy.HeaderAttempts))
		assert.Equal(t, "r1", got.header.Get(proxy.HeaderRequestID))
		assert.Equal(t, "/a%2Fb//c?x=1", got.header.Get("X-Path"))
	}
	unknown := ask(hosts[0], http.MethodGet, "/v1/services/none/", nil, nil)
	assert.Equal(t, http.StatusNotFound, unknown.status)
	assert.Equal(t, "not-run", unknown.outcome())
}
