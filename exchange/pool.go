package exchange

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	// Limit returns the number of connections that may be open to all addresses
	// together. It may change.
	Limit func() int
	// MaxPerAddress bounds the connections to one address.
	MaxPerAddress int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// Opened and Closed are called for each connection that is opened and closed; nil
	// means nothing. They must not call the Pool.
	Opened, Closed func()
	// Dial opens connections; nil means TCP with the options of package tcpopt.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Pool holds a Client for each address, whose connections share one limit. At the limit,
// the idle connection that is least useful is closed for a new one; if all are in use,
// exchanges wait. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	mu      sync.Mutex
	clients map[string]*Client
	// idle holds the idle connections of all clients, the one that has been idle longest
	// first. A client's mutex may be held while mu is locked, never the reverse.
	idle      *list.List
	openCount int
	stats     PoolStats
	roomFreed chan struct{}
}

// PoolStats counts what the limit of a pool has caused: idle connections that were closed
// for others, and waits of exchanges for one.
type PoolStats struct{ Evicted, Waited uint64 }

// NewPool returns a Pool without connections.
func NewPool(options PoolOptions) *Pool {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Opened == nil {
		options.Opened = func() {}
	}
	if options.Closed == nil {
		options.Closed = func() {}
	}
	return &Pool{options: options, clients: make(map[string]*Client), idle: list.New(), roomFreed: make(chan struct{}, 1)}
}

// Client returns the client for an address.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = New(Options{Address: address, MaxConnections: p.options.MaxPerAddress, IdleTimeout: p.options.IdleTimeout, Dial: p.options.Dial, Now: p.options.Now, pool: p})
		p.clients[address] = c
	}
	return c
}

// Forget closes the connections to an address that is no longer used: the idle ones at
// once, the others after their exchanges.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Reclaim closes idle connections above the limit, which has fallen.
func (p *Pool) Reclaim() {
	p.closeIdle(func(*connection) bool { return p.openCount > p.options.Limit() })
}

// closeIdle closes idle connections, the one that has been idle longest first, until one
// does not match.
func (p *Pool) closeIdle(matches func(*connection) bool) {
	for oldest := p.popIdle(matches); oldest != nil; oldest = p.popIdle(matches) {
		oldest.client.closeNow(oldest)
	}
}

// Trim closes the connections that were idle for IdleTimeout and forgets the clients
// without connections. It must be called periodically.
func (p *Pool) Trim() {
	p.Reclaim()
	expired := p.options.Now().Add(-p.options.IdleTimeout)
	p.closeIdle(func(oldest *connection) bool { return !oldest.idleSince.After(expired) })
	p.mu.Lock()
	clients := make([]*Client, 0, len(p.clients))
	for _, c := range p.clients {
		clients = append(clients, c)
	}
	p.mu.Unlock()
	for _, c := range clients {
		if c.OpenConnections() == 0 {
			p.remove(c)
		}
	}
}

// remove forgets a client. One that is in use at this moment still counts its connections.
func (p *Pool) remove(c *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[c.options.Address] == c {
		delete(p.clients, c.options.Address)
	}
}

// Close closes the idle connections, and the others when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	clients := p.clients
	p.clients = make(map[string]*Client)
	p.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
}

// OpenConnections returns the number of open connections to all addresses.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// Limit returns the number of connections that may be open now.
func (p *Pool) Limit() int { return p.options.Limit() }

// Stats returns the counts since the start.
func (p *Pool) Stats() PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Addresses returns the number of addresses with a client.
func (p *Pool) Addresses() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

// connectionsPerAddress returns how many connections one address may have: an equal part
// of the limit, one at least.
func (p *Pool) connectionsPerAddress() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(min(p.options.Limit()/max(len(p.clients), 1), p.options.MaxPerAddress), 1)
}

// popIdle removes and returns the connection that has been idle longest, nil if there is
// none or matches rejects it.
func (p *Pool) popIdle(matches func(*connection) bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if oldest := p.idle.Front(); oldest != nil && matches(oldest.Value.(*connection)) {
		return p.takeIdle(oldest)
	}
	return nil
}

// takeIdle removes an element from the list of idle connections. The caller holds p.mu.
func (p *Pool) takeIdle(element *list.Element) *connection {
	conn := p.idle.Remove(element).(*connection)
	conn.poolElement = nil
	return conn
}

// popLeastUseful removes and returns the idle connection that is least likely to be used
// again, nil if none is idle. With more addresses than connections, all of which are called in
// turn, it is not the one that has been idle longest, which would be the next to be used.
func (p *Pool) popLeastUseful() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	element := p.idle.Front()
	if len(p.clients) > p.options.Limit() {
		element = p.idle.Back()
	}
	if element == nil {
		p.stats.Waited++
		return nil
	}
	p.stats.Evicted++
	return p.takeIdle(element)
}

// evict closes the idle connection that is least useful and returns false if none is idle.
func (p *Pool) evict() bool {
	victim := p.popLeastUseful()
	if victim != nil {
		victim.client.closeNow(victim)
	}
	return victim != nil
}

// count counts a connection that is about to be dialled. It returns false at the limit.
func (p *Pool) count() bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	full := p.openCount >= p.options.Limit()
	if !full {
		p.openCount++
	}
	p.mu.Unlock()
	if !full {
		p.options.Opened()
		p.wakeWaiter() // Lets the next waiter check for room too.
	}
	return !full
}

// uncount counts a closed connection as no longer open.
func (p *Pool) uncount() {
	if p == nil {
		return
	}
	p.options.Closed() // Before its place is free, so that the callbacks never count more than the limit.
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
	p.wakeWaiter()
}

// addIdle and removeIdle keep the list of idle connections. The caller holds the mutex of
// the connection's client.
func (p *Pool) addIdle(conn *connection) {
	if p == nil {
		return
	}
	p.mu.Lock()
	conn.poolElement = p.idle.PushBack(conn)
	p.mu.Unlock()
	p.wakeWaiter() // It may be closed for another one.
}

func (p *Pool) removeIdle(conn *connection) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.poolElement != nil {
		p.idle.Remove(conn.poolElement)
		conn.poolElement = nil
	}
}

func (p *Pool) wakeWaiter() {
	select {
	case p.roomFreed <- struct{}{}:
	default:
	}
}
