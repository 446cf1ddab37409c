package rpcclient

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

type echoService struct{ silent atomic.Bool }

func (e *echoService) Say(args *string, reply *string) error {
	if e.silent.Load() {
		select {}
	}
	if *args == "stale" {
		return kind.Errorf(kind.StaleEpoch, "epoch 1 is below 2")
	}
	*reply = *args
	return nil
}

func newPipeClient(service *echoService, dials *atomic.Int64) *Client {
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", service); err != nil {
		panic(err)
	}
	return New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		clientEnd, serverEnd := net.Pipe()
		go server.ServeConn(serverEnd)
		return clientEnd, nil
	}})
}

func TestSilentConnectionIsDroppedAndReplaced(t *testing.T) {
	var dials atomic.Int64
	service := &echoService{}
	client := newPipeClient(service, &dials)
	defer client.Close()
	var reply string
	args := "hello"
	require.NoError(t, client.Call(context.Background(), "a", "Echo.Say", &args, &reply))
	require.NoError(t, client.Call(context.Background(), "a", "Echo.Say", &args, &reply))
	assert.EqualValues(t, 1, dials.Load())

	service.silent.Store(true)
	expiredCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	err := client.Call(expiredCtx, "a", "Echo.Say", &args, new(string))
	assert.Equal(t, kind.UnknownOutcome, kind.Of(err))

	service.silent.Store(false)
	require.NoError(t, client.Call(context.Background(), "a", "Echo.Say", &args, &reply))
	assert.EqualValues(t, 2, dials.Load(), "the connection that got no reply must not be used again")
}

func TestRemoteKindIsKept(t *testing.T) {
	var dials atomic.Int64
	client := newPipeClient(&echoService{}, &dials)
	defer client.Close()
	args := "stale"
	err := client.Call(context.Background(), "a", "Echo.Say", &args, new(string))
	assert.Equal(t, kind.StaleEpoch, kind.Of(err))
}

func TestDialFailureIsUnreachable(t *testing.T) {
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }})
	args := ""
	err := client.Call(context.Background(), "a", "Echo.Say", &args, new(string))
	assert.Equal(t, kind.Unreachable, kind.Of(err))
}

// A call must return at its deadline even if the peer reads nothing and the write blocks.
func TestFullSendBufferDoesNotHoldACall(t *testing.T) {
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		clientEnd, _ := net.Pipe() // A write blocks, since nothing reads the other end.
		return clientEnd, nil
	}})
	defer client.Close()
	expiredCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	args := "hello"
	err := client.Call(expiredCtx, "a", "Echo.Say", &args, new(string))
	assert.Equal(t, kind.UnknownOutcome, kind.Of(err))
}

// slowService answers Wait once the test lets it.
type slowService struct{ arrived, answer chan struct{} }

func (s *slowService) Wait(args *string, reply *string) error {
	s.arrived <- struct{}{}
	<-s.answer
	*reply = *args
	return nil
}

// Guards against calls that all fail because one of them did: they share a connection,
// which must not be closed under the others when one call reaches its deadline.
func TestADeadlineDoesNotEndTheOtherCalls(t *testing.T) {
	service := &slowService{arrived: make(chan struct{}, 2), answer: make(chan struct{})}
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Slow", service))
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go server.ServeConn(serverEnd)
		return clientEnd, nil
	}})
	defer client.Close()
	args, reply := "hello", ""
	result := make(chan error, 1)
	go func() { result <- client.Call(context.Background(), "a", "Slow.Wait", &args, &reply) }()
	<-service.arrived
	expiredCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	require.Error(t, client.Call(expiredCtx, "a", "Slow.Wait", &args, new(string)))
	close(service.answer)
	require.NoError(t, <-result)
	assert.Equal(t, args, reply)
}

// Guards against calls that wait on a silent connection although the peer answers on a
// new one: they must fail, so that they can be sent again.
func TestCallsOnASilentConnectionEndOnceThePeerAnswers(t *testing.T) {
	service := &slowService{arrived: make(chan struct{}, 4), answer: make(chan struct{})}
	close(service.answer)
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Slow", service))
	dials := 0
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		dials++
		if dials == 1 {
			go func() { _, _ = io.Copy(io.Discard, serverEnd) }() // Ends with the connection.
		} else {
			go server.ServeConn(serverEnd)
		}
		return clientEnd, nil
	}})
	defer client.Close()
	args := "hello"
	longCtx, cancelLong := context.WithTimeout(context.Background(), time.Hour)
	defer cancelLong()
	result := make(chan error, 1)
	go func() { result <- client.Call(longCtx, "a", "Slow.Wait", &args, new(string)) }()
	require.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.conns["a"] != nil && client.conns["a"].inFlight == 1
	}, 10*time.Second, time.Millisecond)
	expiredCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	require.Error(t, client.Call(expiredCtx, "a", "Slow.Wait", &args, new(string)))
	require.NoError(t, client.Call(context.Background(), "a", "Slow.Wait", &args, new(string)))
	select {
	case err := <-result:
		assert.Equal(t, kind.UnknownOutcome, kind.Of(err))
	case <-time.After(10 * time.Second):
		assert.Fail(t, "the call on the silent connection has not ended")
	}
	assert.Equal(t, 2, dials)
}
