package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay is a TCP relay that injects network faults. A blackholed connection stays
// open, but all data is dropped in both directions, as when a firewall loses its
// connection tracking entry. Connections opened later work.
type Relay struct {
	listener     net.Listener
	target       string
	mu           sync.Mutex
	links        map[*link]struct{}
	wait         sync.WaitGroup
	accepted     atomic.Int64
	blackholeAll atomic.Bool
	// dropReplies blackholes a connection when the target next sends data on it.
	// replyDelay, in nanoseconds, delays each read from the target.
	dropReplies atomic.Bool
	replyDelay  atomic.Int64
}

// link is a relayed connection: downstream to the client, upstream to the target.
type link struct {
	downstream, upstream net.Conn
	blackholed           atomic.Bool
}

// StartRelay listens on a free loopback port and relays connections to target,
// given as host:port.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, links: make(map[*link]struct{})}
	r.wait.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (r *Relay) Accepted() int64 { return r.accepted.Load() }

// Open returns the number of connections that are open.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// BlackholeOpen blackholes the open connections for the rest of their lives.
func (r *Relay) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.blackholed.Store(true)
	}
}

// Blackhole blackholes the open connections and those accepted until it is called
// with false. Blackholed connections don't recover.
func (r *Relay) Blackhole(on bool) {
	r.blackholeAll.Store(on)
	if on {
		r.BlackholeOpen()
	}
}

// DropReplies drops the data that the target sends, until it is called with false:
// a one-way partition. A connection on which data was dropped stays blackholed.
func (r *Relay) DropReplies(on bool) { r.dropReplies.Store(on) }

// DelayReplies delays all data that the target sends by d.
func (r *Relay) DelayReplies(d time.Duration) { r.replyDelay.Store(int64(d)) }

// Reset closes the open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for _, end := range []net.Conn{l.downstream, l.upstream} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Makes Close send a reset.
			}
			_ = end.Close() // Unblocks the pumps, which then return.
		}
	}
}

func (r *Relay) accept() {
	defer r.wait.Done()
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		r.wait.Add(1)
		go r.serve(downstream)
	}
}

func (r *Relay) serve(downstream net.Conn) {
	defer r.wait.Done()
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = downstream.Close() // The target is unreachable.
		return
	}
	l := &link{downstream: downstream, upstream: upstream}
	l.blackholed.Store(r.blackholeAll.Load())
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.pump(downstream, upstream, nil) }()
	go func() { defer both.Done(); l.pump(upstream, downstream, r.impairReply) }()
	both.Wait()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// impairReply applies replyDelay and dropReplies to data read from the target.
func (r *Relay) impairReply(l *link) {
	time.Sleep(time.Duration(r.replyDelay.Load()))
	if r.dropReplies.Load() {
		l.blackholed.Store(true)
	}
}

// pump copies bytes until either end closes. On a blackholed link it drops the
// bytes and doesn't relay the close. If impair is set, pump calls it after each read.
func (l *link) pump(from, to net.Conn, impair func(*link)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if impair != nil {
			impair(l)
		}
		if n > 0 && !l.blackholed.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if l.blackholed.Load() {
			return
		}
		l.propagateClose(to, err)
		return
	}
}

// propagateClose closes the receiving end as the sending end was closed: only the
// write side after EOF, the whole connection after an error.
func (l *link) propagateClose(to net.Conn, err error) {
	if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = half.CloseWrite() // The other direction stays open.
		return
	}
	_ = to.Close() // The connection failed.
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // Makes accept return.
	r.mu.Lock()
	for l := range r.links {
		_ = l.downstream.Close() // Makes its pumps return.
		_ = l.upstream.Close()   // As above.
	}
	r.mu.Unlock()
	r.wait.Wait()
}
