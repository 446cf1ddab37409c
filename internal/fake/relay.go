package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay is a TCP relay that can fall silent: on command it drops what passes on
// the connections that are open, in both directions and without closing them,
// as a lost connection track does. New connections work.
type Relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	links    map[*link]struct{}
	wait     sync.WaitGroup
	accepted atomic.Int64
	cut      atomic.Bool
	// deaf drops what the target answers, delay holds up each piece of it.
	deaf  atomic.Bool
	delay atomic.Int64
}

type link struct {
	near, far net.Conn
	silent    atomic.Bool
}

// StartRelay listens on a free loopback port and passes connections on to
// target, host:port.
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

// Accepted returns the number of connections that were opened.
func (r *Relay) Accepted() int64 { return r.accepted.Load() }

// Open returns the number of connections that are open.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// BlackholeOpen makes the open connections silent for good.
func (r *Relay) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silent.Store(true)
	}
}

// Blackhole makes all connections silent, the later ones too, until it is called with
// false.
func (r *Relay) Blackhole(on bool) {
	r.cut.Store(on)
	if on {
		r.BlackholeOpen()
	}
}

// DropReplies drops what the target sends until it is called with false: a cut in one
// direction. Connections on which something was dropped stay broken.
func (r *Relay) DropReplies(on bool) { r.deaf.Store(on) }

// DelayReplies holds up what the target sends.
func (r *Relay) DelayReplies(d time.Duration) { r.delay.Store(int64(d)) }

// Reset resets the open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for _, end := range []net.Conn{l.near, l.far} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Close sends a reset.
			}
			_ = end.Close() // Ends the pumps.
		}
	}
}

func (r *Relay) accept() {
	defer r.wait.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		r.wait.Add(1)
		go r.serve(near)
	}
}

func (r *Relay) serve(near net.Conn) {
	defer r.wait.Done()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close() // The target is down: so is the relayed connection.
		return
	}
	l := &link{near: near, far: far}
	l.silent.Store(r.cut.Load())
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.pump(near, far, nil) }()
	go func() { defer both.Done(); l.pump(far, near, r.hinder) }()
	both.Wait()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// hinder delays an answer, or silences its connection.
func (r *Relay) hinder(l *link) {
	time.Sleep(time.Duration(r.delay.Load()))
	if r.deaf.Load() {
		l.silent.Store(true)
	}
}

// pump passes bytes on until an end closes. On a silent link it drops them, and
// the close as well.
func (l *link) pump(from, to net.Conn, hinder func(*link)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if hinder != nil {
			hinder(l)
		}
		if n > 0 && !l.silent.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if l.silent.Load() {
			return
		}
		l.shut(to, err)
		return
	}
}

func (l *link) shut(to net.Conn, err error) {
	if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = half.CloseWrite() // The other direction may go on.
		return
	}
	_ = to.Close() // The connection broke.
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // Ends accept.
	r.mu.Lock()
	for l := range r.links {
		_ = l.near.Close() // Ends its pumps.
		_ = l.far.Close()  // As above.
	}
	r.mu.Unlock()
	r.wait.Wait()
}
