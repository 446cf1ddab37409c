package replica

import (
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// maxBatchProposals limits the proposals that share one sync.
const maxBatchProposals = 1024

// maxBacklogTasks is the number of apply tasks in the loop's backlog, in
// addition to those in the channel, above which the loop accepts no proposals.
const maxBacklogTasks = 256

// proposal is a command to be appended to the log.
type proposal struct {
	data []byte
	// term is the only term in which the command may be appended, zero for any.
	term uint64
	done chan outcome
	// accepted is set once the loop has received the proposal; from then on the
	// command may run.
	accepted *atomic.Bool
}

// request is one of: a linearizable read, an admission, or a failure reported
// by the applier.
type request struct {
	read    bool
	join    *consensus.Member
	failure error
	// stepDown gives up the leadership of this term, zero for no such request.
	stepDown uint64
	done     chan outcome
}

// peerEvent is an event from a peer: messages, possibly with the snapshot that
// one of them offers, or a failed call or transfer. If reply is set, it
// receives the messages to the peer that result from the event.
type peerEvent struct {
	from           consensus.MemberID
	messages       []consensus.Message
	snapshot       *receivedSnapshot
	unreachable    bool
	transferFailed bool
	reply          chan []consensus.Message
	// responses collects the messages for reply. The reply is closed without messages if the
	// event was not processed.
	responses []consensus.Message
}

// loop is the goroutine that owns the core and the log.
type loop struct {
	replica  *Replica
	core     *consensus.Core
	identity storage.Identity
	senders  map[consensus.MemberID]*sender
	// pendingCalls are the RPCs from peers that await the resulting messages.
	pendingCalls []peerEvent
	// received holds the data of a snapshot while the core decides whether to
	// install it.
	received *receivedSnapshot
	// backlog holds tasks for the applier that did not fit into its channel.
	backlog []applyTask
	// reads holds the callers that wait for a read to be confirmed, by the ID
	// of the read.
	reads  map[uint64]chan outcome
	readID uint64
	// roundStarts holds the start time of each heartbeat round since the latest
	// one that a quorum answered.
	roundStarts map[uint64]time.Time
	// lastRound is the latest heartbeat round that was seen.
	lastRound    uint64
	confirmation confirmation
	// syncTime is the time that the latest synced append took.
	syncTime     time.Duration
	leadership   Leadership
	snapshotting bool
	// nextSnapshotTick is the tick from which on a snapshot may be taken again after one
	// that was not written.
	nextSnapshotTick uint64
	drain            drain
	// queued is the last entry that was passed to the applier.
	queued    uint64
	suspended suspension
	// ticks counts the ticks since the start, leaderlessTicks those since a leader was known.
	ticks           uint64
	leaderlessTicks int
}

func newLoop(r *Replica, core *consensus.Core, identity storage.Identity) *loop {
	l := &loop{
		replica:     r,
		core:        core,
		identity:    identity,
		senders:     make(map[consensus.MemberID]*sender),
		reads:       make(map[uint64]chan outcome),
		roundStarts: make(map[uint64]time.Time),
	}
	if r.options.Bootstrap {
		core.Campaign()
	}
	return l
}

func (l *loop) run() {
	defer l.replica.group.Done()
	ticker := time.NewTicker(l.replica.options.Tick)
	defer ticker.Stop()
	for {
		err := l.handleNextEvent(ticker.C)
		if err == nil {
			err = l.processReady()
		}
		if storage.IsFull(err) && !l.suspended.active {
			l.suspend(err)
			err = nil
		}
		if err != nil || l.canStop() {
			l.replica.shutDown(err)
			return
		}
	}
}

// handleNextEvent waits for one event and handles it.
func (l *loop) handleNextEvent(tick <-chan time.Time) error {
	proposals := l.replica.proposals
	if len(l.backlog) > maxBacklogTasks {
		proposals = nil
	}
	var applies chan applyTask
	var next applyTask
	if len(l.backlog) > 0 {
		applies, next = l.replica.applies, l.backlog[0]
	}
	stopping := l.replica.stopping.Done()
	if l.drain.active {
		stopping = nil
	}
	select {
	case <-tick:
		return l.tick()
	case p := <-proposals:
		l.propose(p)
	case in := <-l.replica.inbound:
		return l.receive(in)
	case req := <-l.replica.requests:
		return l.handleRequest(req)
	case applies <- next:
		l.backlog = l.backlog[1:]
	case written := <-l.replica.snapshots:
		return l.finishSnapshot(written)
	case <-l.replica.appliedSignal:
	case <-stopping:
		l.drain.active = true
	}
	return nil
}

func (l *loop) tick() error {
	l.ticks++
	if l.drain.active {
		l.drain.ticks++
	}
	if l.suspended.active {
		return l.checkSpace()
	}
	l.core.Tick()
	l.checkConfirmation()
	l.maintainMembership()
	l.logLeaderless()
	return nil
}

// collectProposals returns first and all queued proposals. It first yields the
// processor once, so that callers whose previous proposals were just answered
// can submit their next ones and share the sync.
func (l *loop) collectProposals(first proposal) []proposal {
	runtime.Gosched()
	batch := []proposal{first}
	for len(batch) < maxBatchProposals && len(l.replica.proposals) > 0 {
		batch = append(batch, <-l.replica.proposals)
	}
	return batch
}

// propose appends p and all queued proposals as one batch.
func (l *loop) propose(p proposal) {
	if l.drain.active {
		rejectProposal(p)
		return
	}
	if l.suspended.active {
		p.done <- outcome{err: l.notLeaderWhileSuspended()}
		return
	}
	batch := slices.DeleteFunc(l.collectProposals(p), l.refuseOtherTerm)
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, len(batch))
	for i := range batch {
		batch[i].accepted.Store(true)
		commands[i] = batch[i].data
	}
	first, term, err := l.core.Propose(commands...)
	for i := range batch {
		if err != nil {
			batch[i].done <- outcome{err: err}
			continue
		}
		l.replica.waiters.add(first+uint64(i), term, batch[i].done)
	}
}

// refuseOtherTerm refuses a proposal that was made for another term, and reports whether it did.
func (l *loop) refuseOtherTerm(p proposal) bool {
	if p.term == 0 || p.term == l.core.Status().Term {
		return false
	}
	p.done <- outcome{err: l.core.NotLeader()}
	return true
}

// receive processes the given and all queued peer events, so that they share one
// sync.
func (l *loop) receive(in peerEvent) error {
	if l.suspended.active {
		l.receiveSuspended(in)
		return nil
	}
	for {
		if err := l.stepCore(in); err != nil {
			return err
		}
		if in.snapshot != nil || len(l.replica.inbound) == 0 {
			return nil
		}
		in = <-l.replica.inbound
		if in.snapshot != nil {
			// A snapshot is processed separately, after the work before it.
			if err := l.processReady(); err != nil {
				in.refuse()
				return err
			}
		}
	}
}

func (l *loop) stepCore(in peerEvent) error {
	if in.unreachable {
		l.core.ReportUnreachable(in.from)
		return nil
	}
	if in.transferFailed {
		l.core.ReportSnapshot(in.from)
		return nil
	}
	l.received = in.snapshot
	if in.reply != nil {
		l.pendingCalls = append(l.pendingCalls, in)
	}
	for _, m := range in.messages {
		err := l.core.Step(m)
		if kind.Is(err, kind.BadRequest) {
			l.replica.options.Logger.Warn().Err(err).Stringer("member", m.From).Msg("message refused")
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *loop) handleRequest(req request) error {
	switch {
	case req.failure != nil:
		return req.failure
	case l.suspended.active:
		req.done <- outcome{err: l.notLeaderWhileSuspended()}
	case req.read:
		l.requestRead(req)
	case req.join != nil:
		l.admit(req)
	case req.stepDown != 0:
		if l.core.Status().Term == req.stepDown {
			l.core.StepDown()
		}
		req.done <- outcome{}
	}
	return nil
}

func (l *loop) requestRead(req request) {
	l.readID++
	if err := l.core.RequestRead(l.readID); err != nil {
		req.done <- outcome{err: err}
		return
	}
	l.reads[l.readID] = req.done
}

// processReady carries out the core's pending work until none is left.
func (l *loop) processReady() error {
	if l.suspended.active {
		l.publishSuspended()
		l.passBacklog()
		return nil
	}
	for l.core.HasReady() {
		l.recordRoundStart()
		l.publish()
		ready := l.core.Ready()
		l.send(ready, true)
		if err := l.persist(ready); err != nil {
			return err
		}
		l.send(ready, false)
		l.apply(ready)
		l.core.Advance(ready)
	}
	l.completeCalls()
	l.recordRoundStart() // A sole voter's heartbeat round sends no messages, so HasReady may be false.
	l.publish()
	l.rejectPendingReads()
	l.flushBacklog()
	return nil
}

// rejectPendingReads fails all pending reads if this replica no longer leads.
func (l *loop) rejectPendingReads() {
	if len(l.reads) == 0 || l.core.Status().Role == consensus.Leader {
		return
	}
	for id, done := range l.reads {
		done <- outcome{err: l.core.NotLeader()}
		delete(l.reads, id)
	}
}

func (l *loop) persist(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := l.installSnapshot(*ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	began := l.replica.options.Now()
	err := l.replica.store.Append(l.core.HardState(), ready.Entries)
	l.syncTime = l.replica.options.Now().Sub(began)
	return err
}

func (l *loop) installSnapshot(meta consensus.SnapshotMeta) error {
	if l.received == nil || l.received.header.Meta.Index != meta.Index {
		return kind.Errorf(kind.Internal, "cannot install snapshot %d: its data was not received", meta.Index)
	}
	if err := l.replica.store.InstallSnapshot(l.received.header, l.received.data); err != nil {
		return err
	}
	if err := l.replica.store.Reset(meta); err != nil {
		return err
	}
	return l.replica.store.RemoveSnapshotsBefore(meta.Index)
}

func (l *loop) apply(ready consensus.Ready) {
	task := applyTask{entries: ready.Committed}
	if ready.Snapshot != nil {
		task.restore, task.data = ready.Snapshot, l.received.data
		l.snapshotting = false
		l.queued = ready.Snapshot.Index
	}
	if n := len(ready.Committed); n > 0 {
		l.queued = ready.Committed[n-1].Index
	}
	for _, read := range ready.Reads {
		if done, ok := l.reads[read.ID]; ok {
			task.reads = append(task.reads, readTask{index: read.Index, done: done})
			delete(l.reads, read.ID)
		}
	}
	if task.restore != nil || len(task.entries) > 0 || len(task.reads) > 0 {
		l.backlog = append(l.backlog, task)
	}
}

// flushBacklog starts a snapshot if one is due and passes tasks to the applier.
func (l *loop) flushBacklog() {
	l.received = nil
	l.startSnapshot()
	l.passBacklog()
}

// passBacklog passes tasks to the applier until its channel is full.
func (l *loop) passBacklog() {
	for len(l.backlog) > 0 {
		select {
		case l.replica.applies <- l.backlog[0]:
			l.backlog = l.backlog[1:]
		default:
			return
		}
	}
}

// send passes messages to the pending call of their receiver or to its sender:
// either those that may be sent before the sync, or all others.
func (l *loop) send(ready consensus.Ready, early bool) {
	l.syncSenders()
	for _, m := range ready.Messages {
		if ready.MaySendBeforeSync(m) != early || l.addToPendingCall(m) {
			continue
		}
		s := l.senders[m.To]
		if s == nil {
			continue
		}
		switch m.Type {
		case consensus.MessageSnapshot:
			l.replica.group.Add(1)
			go s.transferSnapshot(m)
			continue
		case consensus.MessageVote:
			l.replica.group.Add(1)
			go s.requestVote(m)
			continue
		}
		s.enqueue(m)
	}
}

// addToPendingCall adds m to the responses of a pending call from its receiver,
// and returns false if there is none.
func (l *loop) addToPendingCall(m consensus.Message) bool {
	for i := range l.pendingCalls {
		if l.pendingCalls[i].from == m.To {
			l.pendingCalls[i].addResponse(m)
			return true
		}
	}
	return false
}

// addResponse adds m to the responses of the call.
func (in *peerEvent) addResponse(m consensus.Message) { in.responses = append(in.responses, m) }

// refuse answers the call of an event that is not processed with an error.
func (in *peerEvent) refuse() {
	if in.reply != nil {
		close(in.reply)
	}
}

// completeCalls answers the pending RPCs. Their messages have been processed.
func (l *loop) completeCalls() {
	for _, call := range l.pendingCalls {
		call.reply <- call.responses
	}
	l.pendingCalls = nil
}

// syncSenders keeps exactly one sender for each other member.
func (l *loop) syncSenders() {
	membership := l.core.Membership()
	for id, s := range l.senders {
		if member, ok := membership.Find(id); !ok || member.Address != s.member.Address {
			s.cancel()
			delete(l.senders, id)
		}
	}
	for _, member := range membership.Members {
		if member.ID != l.identity.Member && l.senders[member.ID] == nil {
			l.senders[member.ID] = l.replica.startSender(l.identity, member)
		}
	}
}
