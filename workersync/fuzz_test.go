package workersync

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// FuzzSync sends arbitrary request bodies to the handler. None may cause an internal
// server error. The stub leader accepts all reports.
func FuzzSync(f *testing.F) {
	f.Add(`{"incarnation":3,"sent_ms":1,"full":true,"capacity":{"processors":64,"memory_bytes":1}}`)
	f.Add(`{"incarnation":3,"sent_ms":2,"state":"leaving","tasks":[{"task":"t","epoch":1,"state":"running"}]}`)
	f.Add(`{"incarnation":3,"usage":[{"task":"t","epoch":1,"taken_ms":-9,"processors":1e300,"progress":0.5}]}`)
	s := New(Options{Entry: "entry-1", Caller: &stubLeader{session: 1}, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.reportLoop(ctx); close(done) }()
	f.Cleanup(func() { cancel(); <-done })
	handler := s.Handler()
	f.Fuzz(func(t *testing.T, body string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/workers/w1/sync", strings.NewReader(body))
		ctx, cancel := context.WithCancel(request.Context())
		if strings.Contains(body, "hold_ms") {
			cancel() // Avoids waiting for the end of the hold.
		}
		defer cancel()
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request.WithContext(ctx))
		assert.NotEqual(t, http.StatusInternalServerError, recorder.Code)
	})
}
