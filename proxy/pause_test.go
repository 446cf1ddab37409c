package proxy_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/types"
)

// TestHeldUpHostSendsNothingUntilItIsSettled advances the clock by five seconds
// without a tick, as SIGSTOP would. Meanwhile the target may have left, and
// peers may have taken over the slots of this host.
func TestHeldUpHostSendsNothingUntilItIsSettled(t *testing.T) {
	var elapsed, resumed atomic.Int64
	start := time.Now()
	target := &pipeTarget{answer: okAnswer}
	p := proxy.New(proxy.Options{
		Name: "entry-1", Dial: target.dial, Logger: zerolog.Nop(), OnResume: func() { resumed.Add(1) },
		Now: func() time.Time { return start.Add(time.Duration(elapsed.Load())) },
	})
	send := func() string {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/services/quote/", nil))
		return recorder.Header().Get(proxy.HeaderOutcome)
	}
	p.SetMembers(nil)
	elapsed.Add(int64(proxy.DefaultSettleTime))
	p.SetTarget(types.Target{Name: "t1", Service: "quote", Address: "127.0.0.1:1", Slots: 8, State: types.TargetReady})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	require.Eventually(t, p.Settled, 10*time.Second, time.Millisecond)
	require.Equal(t, "done", send())

	elapsed.Add(int64(5 * time.Second))
	assert.Equal(t, "not-run", send())
	assert.EqualValues(t, 1, resumed.Load())
	require.Eventually(t, func() bool {
		elapsed.Add(int64(proxy.DefaultSettleTime / 10))
		return send() == "done"
	}, 10*time.Second, 10*time.Millisecond)
	assert.EqualValues(t, 1, resumed.Load())
}

// duringPause is a log writer that runs a function once, while slots are given up.
type duringPause struct {
	run  func()
	once sync.Once
}

func (d *duringPause) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("slots given up")) {
		d.once.Do(d.run)
	}
	return len(line), nil
}

// Guards against a request that is sent on slots that have run out: it arrives beside the one
// that finds the pause, and passed the check before the slots were given up.
func TestARequestBesideTheOneThatFindsAPauseSendsNothing(t *testing.T) {
	var elapsed atomic.Int64
	start := time.Now()
	target := &pipeTarget{answer: okAnswer}
	beside := make(chan string, 1)
	during := &duringPause{}
	p := proxy.New(proxy.Options{
		Name: "entry-1", Dial: target.dial, Logger: zerolog.New(during),
		Now: func() time.Time { return start.Add(time.Duration(elapsed.Load())) },
	})
	send := func() string {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/services/quote/", nil))
		return recorder.Header().Get(proxy.HeaderOutcome)
	}
	during.run = func() {
		go func() { beside <- send() }()
		time.Sleep(200 * time.Millisecond) // Long enough for a request that does not wait.
	}
	p.SetMembers(nil)
	elapsed.Add(int64(proxy.DefaultSettleTime))
	p.SetTarget(types.Target{Name: "t1", Service: "quote", Address: "127.0.0.1:1", Slots: 8, State: types.TargetReady})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	require.Eventually(t, p.Settled, 10*time.Second, time.Millisecond)
	require.Equal(t, "done", send())
	elapsed.Add(int64(5 * time.Second))
	assert.Equal(t, "not-run", send())
	assert.Equal(t, "not-run", <-beside)
}
