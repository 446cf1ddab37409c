package rpcserver

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"mangohill.example/mangohill/rpcclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo is a net/rpc service.
type echo struct{}

func (echo) Say(text *string, reply *string) error {
	*reply = *text
	return nil
}

// exhaustedListener fails its first accepts for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: unix.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a member that no peer reaches any more: its process had no descriptor
// left for a moment, and the listener for its peers was given up for good.
func TestPeersAreServedAfterAFailedAccept(t *testing.T) {
	server, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, server.RPC().RegisterName("Echo", echo{}))
	server.listener = &exhaustedListener{Listener: server.listener, failures: 3}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve()
	}()
	client := rpcclient.New(rpcclient.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	text, reply := "hello", ""
	require.NoError(t, client.Call(ctx, server.Address(), "Echo.Say", &text, &reply))
	require.Equal(t, text, reply)
	client.Close()
	server.Close()
	<-done
}
