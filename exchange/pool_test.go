package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet is a set of servers and counts the connections that are dialled to them.
type fleet struct {
	addresses     []string
	dialled       atomic.Int64
	open, highest atomic.Int64
	// silent holds the addresses that take requests and never answer.
	silent map[string]bool
	limit  atomic.Int64
	pool   *Pool
	unsent atomic.Int64
}

// startFleet starts a pool for many addresses, which one server answers.
func startFleet(t *testing.T, addresses, limit int) *fleet {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Host) // A write error ends the exchange.
	}))
	f := &fleet{silent: make(map[string]bool)}
	for i := range addresses {
		f.addresses = append(f.addresses, fmt.Sprintf("worker-%d:80", i))
	}
	f.limit.Store(int64(limit))
	f.pool = NewPool(PoolOptions{
		Limit: func() int { return int(f.limit.Load()) }, MaxPerAddress: 8, IdleTimeout: time.Minute,
		Opened: func() {
			open := f.open.Add(1)
			for highest := f.highest.Load(); open > highest && !f.highest.CompareAndSwap(highest, open); highest = f.highest.Load() {
			}
		},
		Closed: func() { f.open.Add(-1) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			f.dialled.Add(1)
			if f.silent[address] {
				near, far := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, far) }() // Ends with the connection.
				return near, nil
			}
			return new(net.Dialer).DialContext(ctx, "tcp", strings.TrimPrefix(server.URL, "http://"))
		},
	})
	t.Cleanup(func() {
		f.pool.Close()
		server.Close()
	})
	return f
}

func (f *fleet) call(ctx context.Context, address string) error {
	request := newRequest(http.MethodPost, "", nil)
	request.Host, request.URL.Host = address, address
	answer, err := f.pool.Client(address).Do(ctx, request, Params{Reuse: true})
	if err != nil {
		return err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	if err == nil && string(body) != address {
		return fmt.Errorf("answer of %q for %q", body, address)
	}
	return err
}

// Guards against a process that runs out of descriptors: a fleet of many workers and few
// descriptors, every worker called again and again, several orders to each at once.
func TestManyAddressesShareFewConnections(t *testing.T) {
	const addresses, limit, rounds, atOnce = 300, 40, 3, 3
	f := startFleet(t, addresses, limit)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for range rounds {
		var calls sync.WaitGroup
		for _, address := range f.addresses {
			for range atOnce {
				calls.Go(func() { assert.NoError(t, f.call(ctx, address)) })
			}
		}
		calls.Wait()
	}
	assert.LessOrEqual(t, f.highest.Load(), int64(limit))
	assert.LessOrEqual(t, f.pool.OpenConnections(), limit)
}

// Guards against connections that are dialled again and again: with room for the fleet,
// each worker keeps its own.
func TestConnectionsAreKeptWhileThereIsRoom(t *testing.T) {
	const addresses = 100
	f := startFleet(t, addresses, 2*addresses)
	for range 5 {
		for _, address := range f.addresses {
			require.NoError(t, f.call(t.Context(), address))
		}
	}
	assert.EqualValues(t, addresses, f.dialled.Load())
}

// Guards against workers that do not answer and take the connections of all others, and
// against an order that waited for a connection and counts as sent.
func TestSilentAddressesTakeOnlyTheirPart(t *testing.T) {
	const addresses, limit = 20, 60
	f := startFleet(t, addresses, limit)
	for i, address := range f.addresses {
		f.silent[address] = i < 5
		f.pool.Client(address)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var silent sync.WaitGroup
	for _, address := range f.addresses[:5] {
		for range 20 {
			silent.Go(func() {
				var failure *Error
				if assert.ErrorAs(t, f.call(ctx, address), &failure) && !failure.Sent {
					assert.ErrorIs(t, failure, ErrNoConnection)
					f.unsent.Add(1)
				}
			})
		}
	}
	for _, address := range f.addresses[5:] {
		assert.NoError(t, f.call(t.Context(), address))
	}
	silent.Wait()
	assert.EqualValues(t, 5*(20-limit/addresses), f.unsent.Load())
}

// Guards against connections to workers that left, and against a map of clients that
// grows with every worker that was ever known.
func TestAddressesThatAreNotUsedAreForgotten(t *testing.T) {
	f := startFleet(t, 10, 100)
	for _, address := range f.addresses {
		require.NoError(t, f.call(t.Context(), address))
	}
	f.pool.Forget(f.addresses[0])
	assert.Equal(t, 9, f.pool.Addresses())
	now := time.Now()
	f.pool.options.Now = func() time.Time { return now.Add(2 * time.Minute) }
	f.pool.Trim()
	assert.Zero(t, f.pool.Addresses())
	assert.Eventually(t, func() bool { return f.pool.OpenConnections() == 0 && f.open.Load() == 0 }, time.Minute, time.Millisecond)
}

// Guards against outbound connections that stay open although the process needs their
// descriptors for inbound ones.
func TestIdleConnectionsAboveALimitThatFellAreClosed(t *testing.T) {
	f := startFleet(t, 10, 100)
	for _, address := range f.addresses {
		require.NoError(t, f.call(t.Context(), address))
	}
	f.limit.Store(4)
	f.pool.Reclaim()
	assert.Equal(t, 4, f.pool.OpenConnections())
	require.NoError(t, f.call(t.Context(), f.addresses[0]))
	assert.Equal(t, 4, f.pool.OpenConnections())
}

// Guards against a pool that closes, for each call, the connection that the next one needs: more
// workers than connections, all called in turn. Only calls to the surplus ones may dial.
func TestAddressesInTurnKeepMostConnections(t *testing.T) {
	const addresses, limit, rounds = 100, 80, 5
	f := startFleet(t, addresses, limit)
	for range rounds {
		for _, address := range f.addresses {
			require.NoError(t, f.call(t.Context(), address))
		}
	}
	assert.LessOrEqual(t, f.dialled.Load(), int64(limit+rounds*2*(addresses-limit)))
}
