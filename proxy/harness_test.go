package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/registry"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/rpcserver"
	"mangohill.example/mangohill/types"
)

// host is one entry host with only the parts that handle requests.
type host struct {
	name     string
	proxy    *proxy.Proxy
	registry *registry.Registry
	driver   *membership.Driver
	rpc      *rpcserver.Server
	calls    *rpcclient.Client
	callers  *httptest.Server
	platform *httptest.Server
	cancel   context.CancelFunc
	dead     bool
}

func (h *host) peers() []registry.Peer {
	var out []registry.Peer
	for _, p := range h.driver.Live() {
		out = append(out, registry.Peer{Name: p.Name, Address: p.PeerAddress})
	}
	return out
}

func (h *host) membersChanged() {
	var live []membership.Peer
	for _, p := range h.driver.Peers() {
		if p.State == membership.Live || p.State == membership.Suspect {
			live = append(live, p)
		}
	}
	h.proxy.SetMembers(live)
}

// startHosts starts n entry hosts that know each other and waits until all
// their slot shares have settled.
func startHosts(t *testing.T, n int, options proxy.Options) []*host {
	t.Helper()
	if options.SettleTime == 0 {
		options.SettleTime = time.Millisecond
	}
	hosts := make([]*host, n)
	addresses := make([]string, n)
	for i := range hosts {
		server, err := rpcserver.Listen("127.0.0.1:0")
		require.NoError(t, err)
		hosts[i] = &host{name: fmt.Sprintf("entry-%d", i+1), rpc: server}
		addresses[i] = server.Address()
	}
	for i, h := range hosts {
		h.start(t, i, addresses, options)
	}
	for _, h := range hosts {
		require.Eventually(t, func() bool { return len(h.driver.Live()) == n-1 }, 10*time.Second, 5*time.Millisecond)
		require.Eventually(t, h.proxy.Settled, 10*time.Second, 5*time.Millisecond)
	}
	return hosts
}

func (h *host) start(t *testing.T, i int, addresses []string, options proxy.Options) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.calls = rpcclient.New(rpcclient.Options{})
	options.Name = h.name
	options.Token = uint64(i + 1)
	options.Logger = zerolog.Nop()
	if options.Config == nil {
		options.Config = func() *types.Config { return nil }
	}
	h.proxy = proxy.New(options)
	h.registry = registry.New(registry.Options{
		Name: h.name, Peers: h.peers, Call: h.calls.Call, OnChange: h.proxy.SetTarget, Logger: zerolog.Nop(),
	})
	require.NoError(t, h.rpc.RPC().RegisterName("Peer", h.registry.PeerService()))
	h.callers = httptest.NewServer(h.proxy)
	h.platform = httptest.NewServer(h.registry.Handler())
	changed := make(chan membership.Change, 64)
	driver, err := membership.Start(membership.Options{
		Name: h.name, PeerAddress: addresses[i], CallerAddress: h.callers.Listener.Addr().String(), EntryAddresses: addresses, Incarnation: 1,
		Token: options.Token, Interval: 50 * time.Millisecond, Logger: zerolog.Nop(),
		LocalStatus: func() membership.LocalStatus { return membership.LocalStatus{Loads: h.proxy.Loads()} },
		OnChange:    func(c membership.Change) { changed <- c },
		OnHeartbeat: h.proxy.ObservePeer,
	})
	require.NoError(t, err)
	h.driver = driver
	h.proxy.SetMembers(nil)
	go h.rpc.Serve()
	go h.proxy.Run(ctx)
	go h.registry.Run(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				h.membersChanged()
			}
		}
	}()
	t.Cleanup(h.kill)
}

// kill stops the entry host without telling its peers.
func (h *host) kill() {
	if h.dead {
		return
	}
	h.dead = true
	h.cancel()
	h.callers.CloseClientConnections()
	_ = h.callers.Listener.Close() // Simulates a crash.
	h.platform.CloseClientConnections()
	_ = h.platform.Listener.Close() // Simulates a crash.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = h.driver.Stop(ctx) // Simulates a crash.
	h.calls.Close()
	h.rpc.Close()
}

// startTarget starts a target that announces itself to the given hosts in turn.
func startTarget(t *testing.T, hosts []*host, options fake.TargetOptions) *fake.Target {
	t.Helper()
	if options.Service == "" {
		options.Service = "quote"
	}
	for _, h := range hosts {
		options.Platforms = append(options.Platforms, h.platform.Listener.Addr().String())
	}
	target, err := fake.StartTarget(options)
	require.NoError(t, err)
	t.Cleanup(target.Stop)
	return target
}

func waitForTargets(t *testing.T, hosts []*host, n int) {
	t.Helper()
	for _, h := range hosts {
		require.Eventually(t, func() bool { return len(h.registry.Targets()) == n }, 10*time.Second, 5*time.Millisecond)
	}
}

// reply is an answer with its whole body, or the error of the request.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) outcome() string { return r.header.Get(proxy.HeaderOutcome) }

// ask sends one request to a host's callers listener on a new connection.
func ask(h *host, method, path string, body []byte, header http.Header) reply {
	return askContext(context.Background(), h, method, path, body, header)
}

func askContext(ctx context.Context, h *host, method, path string, body []byte, header http.Header) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers.Listener.Addr().String()+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: read, err: err}
}
