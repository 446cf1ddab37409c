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

// LocalStatus is the sender's own status in a heartbeat.
type LocalStatus struct {
	ConfigVersion uint64
	Loads         []ServiceLoad
}

// Metrics holds the counters of a Driver. Nil counters are skipped.
type Metrics struct {
	SentBytes     *expvar.Int
	SentDatagrams *expvar.Int
	BadDatagrams  *expvar.Int
}

// Options configures a Driver.
type Options struct {
	Name string
	// PeerAddress is the address of this member's listener for peers,
	// host:port; the UDP socket is bound to it. CallerAddress is that of its
	// listener for callers.
	PeerAddress   string
	CallerAddress string
	// EntryAddresses are the peer addresses of all entry hosts; this member's
	// own is skipped.
	EntryAddresses []string
	// Incarnation grows with each start of the process. Zero means the Unix
	// time in seconds.
	Incarnation uint64
	// Token is the secret that peers present when they forward a request.
	Token uint64
	// Interval is the time between heartbeats; zero means DefaultInterval.
	Interval time.Duration
	// LocalStatus is called before each heartbeat. It must not block.
	LocalStatus func() LocalStatus
	// OnChange is called for each change of a peer's state, OnHeartbeat for
	// each heartbeat received. Both run in the driver's goroutine and must not
	// block.
	OnChange    func(Change)
	OnHeartbeat func(Peer)
	Logger      zerolog.Logger
	Metrics     Metrics
}

// Driver exchanges heartbeats between one entry host and its peers.
type Driver struct {
	options       Options
	conn          *net.UDPConn
	peerAddresses []*net.UDPAddr
	mu            sync.Mutex
	core          *Core
	wait          sync.WaitGroup
	inbox         chan Heartbeat
	stop          chan struct{}
	stopOnce      sync.Once
}

// inboxCapacity limits the received heartbeats that wait for processing.
// Further ones are dropped, because later heartbeats carry the same
// information.
const inboxCapacity = 64

// Start binds the socket and starts sending heartbeats. Errors are of kind
// BadSettings.
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
			_ = conn.Close() // Nothing was sent on the socket.
			return nil, kind.Errorf(kind.BadSettings, "entry address %q: %w", address, err)
		}
		d.peerAddresses = append(d.peerAddresses, resolved)
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
			continue // An ICMP error for an earlier datagram to a peer that is down.
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
	d.sendHeartbeat()
	for {
		select {
		case <-d.stop:
			return
		case h := <-d.inbox:
			d.handle(h)
		case <-ticker.C:
			d.drainInbox()
			d.sendHeartbeat()
			d.report(d.tick())
		}
	}
}

// drainInbox processes all waiting heartbeats before a tick, so that a process
// that was paused does not suspect peers whose heartbeats are in the inbox.
func (d *Driver) drainInbox() {
	for {
		select {
		case h := <-d.inbox:
			d.handle(h)
		default:
			return
		}
	}
}

func (d *Driver) handle(h Heartbeat) {
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

func (d *Driver) sendHeartbeat() {
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
		if _, err := d.conn.WriteToUDP(data, d.peerAddresses[i]); err != nil {
			continue // The peer misses one heartbeat.
		}
		count(d.options.Metrics.SentBytes, int64(len(data)))
		count(d.options.Metrics.SentDatagrams, 1)
	}
}

// recipients returns the indexes of the addresses that a heartbeat is sent to.
// The first heartbeats of a process and those that announce its leaving go to
// all.
func (d *Driver) recipients(h Heartbeat) []int {
	round := h.Beat - BaseBeat(d.options.Incarnation)
	if h.Leaving || round <= broadcastBeats {
		return allIndexes(len(d.peerAddresses))
	}
	return recipients(len(d.peerAddresses), round)
}

// broadcastBeats is the number of first heartbeats of a process that are sent
// to all peers.
const broadcastBeats = 4

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

// Leave tells the peers that this entry host accepts no new requests.
func (d *Driver) Leave() {
	d.mu.Lock()
	d.core.Leave()
	d.mu.Unlock()
	d.sendHeartbeat()
}

// Stop stops the heartbeats and waits until the driver's goroutines have ended
// or ctx ends; in that case it returns the error of ctx.
func (d *Driver) Stop(ctx context.Context) error {
	d.stopOnce.Do(func() {
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
