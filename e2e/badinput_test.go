package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

// Invalid input must be answered with a problem document of the expected kind
// and must not reach a target.
func TestBadInputIsRefusedByItsKind(t *testing.T) {
	c := newCluster(t, 1, 1)
	targets := c.startTargets("quote", 1, 0)
	quote := c.callerURL(0) + "/v1/services/quote/work"
	cases := []struct {
		name   string
		method string
		url    string
		header http.Header
		body   io.Reader
		kind   kind.Kind
	}{
		{"unknown service", "GET", c.callerURL(0) + "/v1/services/nothing/work", nil, nil, kind.UnknownService},
		{"unknown path", "GET", c.callerURL(0) + "/v2", nil, nil, kind.NotFound},
		{"oversized header", "GET", quote, http.Header{"X-Long": {strings.Repeat("x", 70<<10)}}, nil, kind.HeaderTooLarge},
		{"oversized body", "POST", quote, nil, strings.NewReader(strings.Repeat("x", 9<<20)), kind.BodyTooLarge},
		{"wrong timeout", "GET", quote, http.Header{"Mangohill-Timeout-Ms": {"soon"}}, nil, kind.BadRequest},
		{"wrong announcement", "PUT", c.platformURL(0) + "/v1/targets/t1", nil, strings.NewReader("{"), kind.BadRequest},
		{"wrong sync", "POST", c.platformURL(0) + "/v1/workers/w1/sync", nil, strings.NewReader("{"), kind.BadRequest},
		{"wrong method", "GET", c.platformURL(0) + "/v1/workers/w1/sync", nil, nil, kind.MethodNotAllowed},
		{"wrong command body", "POST", c.operatorURL(0) + "/v1/commands", nil, strings.NewReader("{"), kind.BadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, test.url, test.body)
			require.NoError(t, err)
			if test.header != nil {
				request.Header = test.header
			}
			response, err := client.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			var problem kind.Problem
			require.NoError(t, json.NewDecoder(response.Body).Decode(&problem))
			assert.Equal(t, test.kind, problem.Kind, problem.Detail)
			assert.Equal(t, test.kind.Answer().Status, response.StatusCode)
			assert.Equal(t, "application/problem+json", response.Header.Get("Content-Type"))
			if strings.HasPrefix(test.url, c.callerURL(0)) {
				assert.Equal(t, "not-run", response.Header.Get("Mangohill-Outcome"))
			}
		})
	}
	assert.Zero(t, targets[0].TotalRuns())
}
