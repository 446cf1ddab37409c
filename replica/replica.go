package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// Capacities of the channels, in elements.
const (
	proposalCapacity = 1024
	inboundCapacity  = 256
	applyCapacity    = 64
	outboundCapacity = 64
	requestCapacity  = 64
)

// Leadership states whether this replica leads in Term. It reports Leading only
// after it has applied everything that earlier leaders committed.
type Leadership struct {
	Term    uint64
	Leading bool
}

// Status is a replica's view of the group. Commit and Applied are log indexes.
type Status struct {
	ID   consensus.MemberID
	Role string // joining, follower, pre-candidate, candidate, leader, full or stopped
	Term uint64
	// Leader is the address of the leader, empty if none is known.
	Leader  string
	Commit  uint64
	Applied uint64
	Members []controlapi.Member
	// Responding holds, at the leader, the addresses of the members that have answered
	// within the election timeout, its own included.
	Responding []string
	// Last is the index of the last entry of the log.
	Last uint64
	// Followers holds, at the leader, the replication to each other member.
	Followers []Follower
	// Syncs counts the synced appends to the log since the replica started.
	Syncs uint64
	// SyncTime is the time that the latest of them took. It is long on a slow disk, and while the
	// process waits for its processor.
	SyncTime time.Duration
	// DiskFull counts how often the replica stopped participating because its disk was full.
	// It participates again by itself.
	DiskFull uint64
}

// Follower is the leader's view of the replication to another member.
type Follower struct {
	Name string
	// State is "probing", "replicating" or "transferring" (of a snapshot).
	State string
	// Match is the highest log index known to be durable there, Next that of the next entry to
	// send.
	Match, Next uint64
	// SilentMs is the time in milliseconds since its last response.
	SilentMs int64
}

const roleJoining = "joining"

// Replica is a running member of the control group.
type Replica struct {
	options       Options
	store         *storage.Store
	identity      atomic.Pointer[storage.Identity]
	proposals     chan proposal
	inbound       chan peerEvent
	requests      chan request
	applies       chan applyTask
	snapshots     chan snapshotResult
	appliedSignal chan struct{}

	waiters       waiters
	status        atomic.Pointer[Status]
	quorumContact atomic.Pointer[time.Time]
	leadership    chan Leadership
	applied       atomic.Uint64
	fullCount     atomic.Uint64
	// bootstrapping is set once the state of a new cluster may be on the disk.
	bootstrapping bool

	// ctx is cancelled when the goroutines must end, stopping when a stop is
	// requested.
	ctx      context.Context
	cancel   context.CancelFunc
	stopping context.Context
	stop     context.CancelFunc
	done     chan struct{}
	failure  atomic.Pointer[error]
	group    sync.WaitGroup
}

// Start opens the data folder and starts the replica. With Bootstrap it creates
// a new cluster, and fails if the folder already holds a member. Without
// Bootstrap and with an empty folder, the replica requests admission in the
// background until it is admitted or stopped. On a full disk it starts in the background
// once there is space. Errors are of kind bad_settings,
// already_exists, corrupt or storage, or come from StateMachine.Restore.
func Start(options Options) (*Replica, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	store, loaded, err := storage.Open(options.DataDir, storage.Options{FileSystem: options.FileSystem})
	if err != nil && !storage.IsFull(err) {
		return nil, err
	}
	r := newReplica(options, store)
	if err == nil {
		err = r.startFromDisk(loaded)
	}
	if storage.IsFull(err) {
		r.group.Add(1)
		go r.startWhenSpace(err)
		return r, nil
	}
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return r, nil
}

// startWhenSpace starts the replica once the disk is not full any more.
func (r *Replica) startWhenSpace(err error) {
	defer r.group.Done()
	for storage.IsFull(err) {
		loaded, ok, reloadErr := r.awaitSpace(err)
		if !ok {
			r.shutDown(nil)
			return
		}
		if err = reloadErr; err == nil {
			err = r.startFromDisk(loaded)
		}
	}
	if err != nil {
		r.shutDown(err)
	}
}

func newReplica(options Options, store *storage.Store) *Replica {
	ctx, cancel := context.WithCancel(context.Background())
	stopping, stop := context.WithCancel(ctx)
	r := &Replica{
		options:       options,
		store:         store,
		proposals:     make(chan proposal, proposalCapacity),
		inbound:       make(chan peerEvent, inboundCapacity),
		requests:      make(chan request, requestCapacity),
		applies:       make(chan applyTask, applyCapacity),
		snapshots:     make(chan snapshotResult, 1),
		appliedSignal: make(chan struct{}, 1),
		leadership:    make(chan Leadership, 1),
		ctx:           ctx,
		cancel:        cancel,
		stopping:      stopping,
		stop:          stop,
		done:          make(chan struct{}),
	}
	r.waiters.init()
	r.status.Store(&Status{Role: roleJoining})
	return r
}

// startFromDisk starts the goroutines: those of a member if the folder holds
// one or bootstrap creates one, otherwise the one that requests admission.
func (r *Replica) startFromDisk(loaded storage.LoadedState) error {
	if r.options.Bootstrap && loaded.Identity != nil && !r.bootstrapping {
		return kind.Errorf(kind.AlreadyExists, "folder %q already holds member %s of cluster %016x: start without bootstrap", r.options.DataDir, loaded.Identity.Member, uint64(loaded.Identity.Cluster))
	}
	if r.options.Bootstrap && loaded.Identity == nil {
		r.bootstrapping = true
		created, err := r.bootstrap()
		if err != nil {
			return err
		}
		loaded = created
	}
	if loaded.Identity == nil {
		r.group.Add(1)
		go r.runJoining()
		return nil
	}
	return r.run(loaded)
}

// bootstrap writes the state of a new cluster with this replica as its only
// member.
func (r *Replica) bootstrap() (storage.LoadedState, error) {
	id := consensus.MemberID(randomID())
	identity := storage.Identity{Cluster: storage.ClusterID(randomID()), Member: id, Name: r.options.Name}
	self := consensus.Member{ID: id, Name: r.options.Name, Address: r.options.Address, Voter: true}
	first := consensus.Entry{
		Index: 1, Term: 1, Type: consensus.EntryMembership,
		Data: consensus.Membership{Members: []consensus.Member{self}}.Encode(),
	}
	state := consensus.HardState{Term: 1}
	entries := []consensus.Entry{first}
	err := r.store.Create(identity, state, entries)
	return storage.LoadedState{Identity: &identity, Restored: consensus.Restored{HardState: state, Entries: entries}}, err
}

// run restores the state machine and starts the loop and the applier.
func (r *Replica) run(loaded storage.LoadedState) error {
	meta := loaded.Restored.Snapshot
	if meta.Index > 0 {
		if err := r.restoreFrom(meta); err != nil {
			return err
		}
	}
	core, err := r.newCore(loaded)
	if err != nil {
		return err
	}
	r.applied.Store(meta.Index)
	l := newLoop(r, core, *loaded.Identity)
	l.queued = meta.Index
	r.identity.Store(loaded.Identity)
	r.group.Add(2)
	go r.runApplier(meta.Index)
	go l.run()
	return nil
}

func (r *Replica) newCore(loaded storage.LoadedState) (*consensus.Core, error) {
	return consensus.New(consensus.Config{
		ID:             loaded.Identity.Member,
		ElectionTicks:  r.options.ElectionTicks,
		HeartbeatTicks: r.options.HeartbeatTicks,
		Voters:         r.options.Voters,
		RemovalTicks:   r.options.RemovalTicks,
		Seed:           r.options.Seed,
	}, loaded.Restored)
}

func (r *Replica) restoreFrom(meta consensus.SnapshotMeta) error {
	_, data, err := r.store.ReadSnapshot(meta.Index)
	if err != nil {
		return err
	}
	return r.options.StateMachine.Restore(data)
}

// Propose replicates data and returns the result of StateMachine.Apply for it.
// The kind of an error tells whether the command may run: with not_leader (the
// detail is the leader's address), deadline_exceeded, stopping, and
// body_too_large (above 1 MiB) it does not; with unknown_outcome it may.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.ProposeIn(ctx, 0, data)
}

// ProposeIn is Propose of a command that rests on what this replica knew as the leader of a term:
// in another term it is refused with not_leader. Zero stands for any term.
func (r *Replica) ProposeIn(ctx context.Context, term uint64, data []byte) (any, error) {
	if err := r.checkProposal(data); err != nil {
		return nil, err
	}
	p := proposal{data: data, term: term, done: make(chan outcome, 1), accepted: new(atomic.Bool)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, kind.Errorf(kind.DeadlineExceeded, "the proposal was not accepted and does not run: %w", ctx.Err())
	case <-r.done:
		return nil, r.stoppedError()
	}
	value, err := r.awaitOutcome(ctx, p.done)
	if kind.Is(err, kind.UnknownOutcome) && r.isStopped() && !p.accepted.Load() {
		return nil, r.stoppedError()
	}
	return value, err
}

// MaxProposalBytes is the largest size of one command. A message to a peer carries any
// command whole.
const MaxProposalBytes = 1 << 20

func (r *Replica) checkProposal(data []byte) error {
	if err := r.checkRunning(); err != nil {
		return err
	}
	if len(data) > MaxProposalBytes {
		return kind.Errorf(kind.BodyTooLarge, "a command of %d bytes exceeds the limit of %d bytes", len(data), MaxProposalBytes)
	}
	return nil
}

func (r *Replica) isStopped() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// checkRunning returns an error if the replica has stopped or has not joined a
// cluster yet.
func (r *Replica) checkRunning() error {
	if r.isStopped() {
		return r.stoppedError()
	}
	if r.identity.Load() == nil {
		return kind.Errorf(kind.NotLeader, "")
	}
	return nil
}

func (r *Replica) awaitOutcome(ctx context.Context, done chan outcome) (any, error) {
	select {
	case o := <-done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, kind.Errorf(kind.UnknownOutcome, "the result is not known yet: %w", ctx.Err())
	case <-r.done:
	}
	select {
	case o := <-done:
		return o.value, o.err
	default:
		return nil, kind.Errorf(kind.UnknownOutcome, "the replica stopped before the result was known")
	}
}

// Barrier returns once the state machine has applied everything that any leader
// committed before the call (linearizable read). Errors are of kind not_leader,
// deadline_exceeded, stopping, or no_quorum if leadership was not confirmed in
// time.
func (r *Replica) Barrier(ctx context.Context) error {
	req := request{read: true, done: make(chan outcome, 1)}
	_, err := r.submit(ctx, req)
	if kind.Is(err, kind.UnknownOutcome) {
		return kind.Errorf(kind.NoQuorum, "leadership was not confirmed: %w", err)
	}
	return err
}

// StepDown gives up the leadership of a term, if this replica still has it: to another
// voter if one can take it at once, otherwise to whoever wins the next election. Errors
// are of kind not_leader (this replica has not joined a cluster yet), deadline_exceeded,
// stopping or unknown_outcome.
func (r *Replica) StepDown(ctx context.Context, term uint64) error {
	_, err := r.submit(ctx, request{stepDown: term, done: make(chan outcome, 1)})
	return err
}

func (r *Replica) submit(ctx context.Context, req request) (any, error) {
	if err := r.checkRunning(); err != nil {
		return nil, err
	}
	select {
	case r.requests <- req:
	case <-ctx.Done():
		return nil, kind.Errorf(kind.DeadlineExceeded, "the request was not accepted: %w", ctx.Err())
	case <-r.done:
		return nil, r.stoppedError()
	}
	return r.awaitOutcome(ctx, req.done)
}

// Status returns the replica's current view of the group.
func (r *Replica) Status() Status {
	status := *r.status.Load()
	status.Applied = r.applied.Load()
	status.DiskFull = r.fullCount.Load()
	return status
}

// Leadership returns the channel of leadership changes. It holds only the
// latest change, so a slow consumer misses earlier ones and must compare the
// terms.
func (r *Replica) Leadership() <-chan Leadership { return r.leadership }

// QuorumContact returns the start time of the latest heartbeat round that a
// majority of the voters answered. It is zero if this replica does not lead.
func (r *Replica) QuorumContact() time.Time {
	if at := r.quorumContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Register registers the net/rpc service "Replica", which peers call.
func (r *Replica) Register(server *rpc.Server) error {
	return server.RegisterName(serviceName, &service{replica: r})
}

// Done returns a channel that is closed when the replica has stopped. Err then
// returns the cause.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica, nil after Stop.
func (r *Replica) Err() error {
	if err := r.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Stop rejects new proposals, completes the accepted ones, transfers the
// leadership if this replica has it, and stops. It waits at most half the
// election timeout for a quorum. It returns when all goroutines have ended and
// the data folder is closed.
func (r *Replica) Stop() {
	r.stop()
	<-r.done
	r.group.Wait()
}

// shutDown ends all goroutines. err is nil for a planned stop.
func (r *Replica) shutDown(err error) {
	if err != nil {
		r.options.Logger.Error().Err(err).Msg("replica stopped")
		r.failure.Store(&err)
	}
	status := *r.status.Load()
	status.Role = "stopped"
	r.status.Store(&status)
	r.quorumContact.Store(nil)
	r.announce(Leadership{Term: status.Term})
	r.cancel()
	if closeErr := r.store.Close(); closeErr != nil {
		r.options.Logger.Warn().Err(closeErr).Msg("data folder not closed cleanly")
	}
	close(r.done)
}

func (r *Replica) stoppedError() error {
	if err := r.Err(); err != nil {
		return kind.Errorf(kind.Stopping, "the replica has stopped: %w", err)
	}
	return kind.Errorf(kind.Stopping, "the replica has stopped")
}

// announce replaces an unconsumed leadership change by a new one. It must not
// be called concurrently.
func (r *Replica) announce(change Leadership) {
	select {
	case <-r.leadership:
	default:
	}
	r.leadership <- change
}

// randomID returns a random nonzero number.
func randomID() uint64 {
	var buffer [8]byte
	for {
		if _, err := crand.Read(buffer[:]); err != nil {
			panic("replica: cannot read random bytes: " + err.Error())
		}
		if id := binary.LittleEndian.Uint64(buffer[:]); id != 0 {
			return id
		}
	}
}
