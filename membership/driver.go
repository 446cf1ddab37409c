package membership

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/kind"
)

// LocalStatus is what a heartbeat says about its sender.
type LocalStatus struct {
	ConfigVersion uint64
	Loads         []ServiceLoad
}

// Metrics are the counters of a Driver. Nil fields are not counted.
type Metrics struct {
	SentBytes     *expvar.Int
	SentDatagrams *expvar.Int
	BadDatagrams  *expvar.Int
}

// Options configures a Driver.
type Options struct {
	Name string
	// PeerAddress is the address of this member's peers listener, host:port; the UDP
	// socket is bound to it. Callers is its callers listener.
	PeerAddress   string
	CallerAddress string
	// EntryAddresses are the peers addresses of all entry hosts; the own one is passed
	// over.
	EntryAddresses []string
	// Incarnation grows with each start of the process. Zero takes the Unix time.
	Incarnation uint64
	// Token is the secret that peers show when they hand over a request.
	Token    uint64
	Interval time.Duration
	// LocalStatus is asked before each heartbeat. It must not block.
	LocalStatus func() LocalStatus
	// OnChange is told each change of a peer's state, Observed each heartbeat that
	// a peer sent. Both are called from the driver's goroutine and must not block.
	OnChange    func(Change)
	OnHeartbeat func(Peer)
	Logger      zerolog.Logger
	Metrics     Metrics
}

// Driver sends and receives the heartbeats of one entry host.
type Driver struct {
	options Options
	conn    *net.UDPConn
	targets []*net.UDPAddr
	mu      sync.Mutex
	core    *Core
	wait    sync.WaitGroup
	inbox   chan Heartbeat
	stop    chan struct{}
	once    sync.Once
}

// inboxCapacity is the number of heartbeats that may wait for the driver. More
// are dropped: the next ones carry the same news.
const inboxCapacity = 64

// Start binds the socket and starts the heartbeats.
func Start(options Options) (*Driver, error) {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.Incarnation == 0 {
		options.Incarnation = uint64(time.Now().Unix())
	}
	conn, err := listen(options.PeerAddress)
	if err != nil {
		return nil, err
	}
	d := &Driver{options: options, conn: conn, inbox: make(chan Heartbeat, inboxCapacity), stop: make(chan struct{})}
	for _, address := range options.EntryAddresses {
		if address == options.PeerAddress {
			continue
		}
		resolved, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			_ = conn.Close() // Nothing was sent on it.
			return nil, kind.Errorf(kind.BadSettings, "entry address %q: %w", address, err)
		}
		d.targets = append(d.targets, resolved)
	}
	d.core = NewCore(CoreOptions{
		Self: Heartbeat{
			Name: options.Name, Peers: options.PeerAddress, Callers: options.CallerAddress,
			Beat: BaseBeat(options.Incarnation), Token: options.Token,
		},
		SuspectAfter: suspectIntervals * options.Interval,
		DeadAfter:    deadIntervals * options.Interval,
	})
	d.wait.Add(2)
	go d.receive()
	go d.run()
	return d, nil
}

func listen(address string) (*net.UDPConn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, kind.Errorf(kind.BadSettings, "peers address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, kind.Errorf(kind.BadSettings, "listen on UDP %s: %w", address, err)
	}
	return conn, nil
}

func (d *Driver) receive() {
	defer d.wait.Done()
	buffer := make([]byte, MaxDatagram+1)
	for {
		n, _, err := d.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP refusal of an earlier datagram; the peer is down.
		}
		h, err := Decode(buffer[:n])
		if err != nil {
			count(d.options.Metrics.BadDatagrams, 1)
			continue
		}
		select {
		case d.inbox <- h:
		default:
		}
	}
}

func (d *Driver) run() {
	defer d.wait.Done()
	ticker := time.NewTicker(d.options.Interval)
	defer ticker.Stop()
	d.beat()
	for {
		select {
		case <-d.stop:
			return
		case h := <-d.inbox:
			d.take(h)
		case <-ticker.C:
			d.drain()
			d.beat()
			d.report(d.tick())
		}
	}
}

// drain takes in what arrived before a tick, so that a process that was held up
// does not suspect peers whose heartbeats wait in the inbox.
func (d *Driver) drain() {
	for {
		select {
		case h := <-d.inbox:
			d.take(h)
		default:
			return
		}
	}
}

func (d *Driver) take(h Heartbeat) {
	d.mu.Lock()
	changes := d.core.Receive(time.Now(), h)
	peer, known := d.core.peers[memberID(h.Name)]
	var seen Peer
	if known {
		seen = peer.Peer
	}
	d.mu.Unlock()
	d.report(changes)
	if known && d.options.OnHeartbeat != nil {
		d.options.OnHeartbeat(seen)
	}
}

func (d *Driver) tick() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Tick(time.Now())
}

func (d *Driver) report(changes []Change) {
	for _, change := range changes {
		d.options.Logger.Info().Str("member", change.Peer.Name).Str("before", string(change.Previous)).
			Str("state", string(change.Peer.State)).Msg("member changed")
		if d.options.OnChange != nil {
			d.options.OnChange(change)
		}
	}
}

func (d *Driver) beat() {
	var local LocalStatus
	if d.options.LocalStatus != nil {
		local = d.options.LocalStatus()
	}
	d.mu.Lock()
	h := d.core.Next(local.ConfigVersion, local.Loads)
	d.mu.Unlock()
	data, err := h.Encode()
	if err != nil {
		d.options.Logger.Error().Err(err).Msg("heartbeat not encoded")
		return
	}
	for _, i := range d.recipients(h) {
		if _, err := d.conn.WriteToUDP(data, d.targets[i]); err != nil {
			continue // The peer misses one heartbeat.
		}
		count(d.options.Metrics.SentBytes, int64(len(data)))
		count(d.options.Metrics.SentDatagrams, 1)
	}
}

// recipients returns the indexes of the addresses that get a heartbeat. The
// first ones of a process and the last one, which says that it leaves, go to
// all.
func (d *Driver) recipients(h Heartbeat) []int {
	round := h.Beat - BaseBeat(d.options.Incarnation)
	if h.Leaving || round <= introductions {
		return all(len(d.targets))
	}
	return recipients(len(d.targets), round)
}

// introductions is the number of heartbeats by which a process makes itself
// known to all.
const introductions = 4

func count(counter *expvar.Int, delta int64) {
	if counter != nil {
		counter.Add(delta)
	}
}

// Peers returns all known peers, sorted by name.
func (d *Driver) Peers() []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Peers()
}

// Live returns the peers that are live or suspected, sorted by name.
func (d *Driver) Live() []Peer {
	var out []Peer
	for _, p := range d.Peers() {
		if p.State == Live || p.State == Suspect {
			out = append(out, p)
		}
	}
	return out
}

// Leave tells the peers that this entry host takes no new work.
func (d *Driver) Leave() {
	d.mu.Lock()
	d.core.Leave()
	d.mu.Unlock()
	d.beat()
}

// Stop ends the heartbeats and waits for the driver's goroutines. ctx bounds
// the wait.
func (d *Driver) Stop(ctx context.Context) error {
	d.once.Do(func() {
		close(d.stop)
		_ = d.conn.Close() // Ends the receiving goroutine.
	})
	done := make(chan struct{})
	go func() {
		d.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
