package replica

import (
	"runtime"
	"sync/atomic"
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// maxBatch bounds the proposals that share one sync.
const maxBatch = 1024

// maxApplyBacklog is the number of apply tasks beyond the channel above which no
// more proposals are taken.
const maxApplyBacklog = 256

// proposal is a command on its way to the log.
type proposal struct {
	data []byte
	done chan outcome
	// taken is set once the loop has it: it may run from then on.
	taken *atomic.Bool
}

// request is one of: a read, an admission, a failure of the applier.
type request struct {
	read    bool
	join    *consensus.Member
	failure error
	done    chan outcome
}

// inbound is what came from a peer: messages, with a snapshot that one of them
// speaks of, or the news that a call failed. The messages to the peer that
// become ready with it go to reply, where that is set.
type inbound struct {
	from           consensus.MemberID
	messages       []consensus.Message
	snapshot       *receivedSnapshot
	unreachable    bool
	transferFailed bool
	reply          chan []consensus.Message
	// out collects the answer.
	out []consensus.Message
}

// loop owns the core and the log.
type loop struct {
	replica  *Replica
	core     *consensus.Core
	identity storage.Identity
	senders  map[consensus.MemberID]*sender
	// calls are the RPCs that wait for messages to their senders.
	calls []inbound
	// received holds the data of a snapshot while the core decides on it.
	received *receivedSnapshot
	// backlog is work for the applier that its channel had no room for.
	backlog []applyTask
	reads   map[uint64]chan outcome
	readID  uint64
	// rounds holds when each heartbeat round began that is not yet confirmed.
	rounds       map[uint64]time.Time
	leading      Leadership
	snapshotting bool
	drain        drain
	ticks        uint64
}

func newLoop(r *Replica, core *consensus.Core, identity storage.Identity) *loop {
	l := &loop{
		replica:  r,
		core:     core,
		identity: identity,
		senders:  make(map[consensus.MemberID]*sender),
		reads:    make(map[uint64]chan outcome),
		rounds:   make(map[uint64]time.Time),
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
		err := l.turn(ticker.C)
		if err == nil {
			err = l.settle()
		}
		if err != nil || l.mayEnd() {
			l.replica.finish(err)
			return
		}
	}
}

// turn waits for one event and takes it.
func (l *loop) turn(tick <-chan time.Time) error {
	proposals := l.replica.proposals
	if len(l.backlog) > maxApplyBacklog {
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
		l.tick()
	case p := <-proposals:
		l.propose(p)
	case in := <-l.replica.inbound:
		return l.receive(in)
	case req := <-l.replica.requests:
		return l.handle(req)
	case applies <- next:
		l.backlog = l.backlog[1:]
	case meta := <-l.replica.snapshots:
		return l.compact(meta)
	case <-l.replica.applyPoke:
	case <-stopping:
		l.drain.active = true
	}
	return nil
}

func (l *loop) tick() {
	l.ticks++
	if l.drain.active {
		l.drain.ticks++
	}
	l.core.Tick()
	l.maintainMembership()
}

// gather collects the proposals that wait. It yields once to callers whose last
// proposals were just answered, so that their next ones share the sync.
func (l *loop) gather(first proposal) []proposal {
	runtime.Gosched()
	batch := []proposal{first}
	for len(batch) < maxBatch && len(l.replica.proposals) > 0 {
		batch = append(batch, <-l.replica.proposals)
	}
	return batch
}

// propose appends p and all proposals that wait, in one batch.
func (l *loop) propose(p proposal) {
	if l.drain.active {
		refuse(p)
		return
	}
	batch := l.gather(p)
	commands := make([][]byte, len(batch))
	for i := range batch {
		batch[i].taken.Store(true)
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

// receive takes what waits from the peers, so that one sync serves all.
func (l *loop) receive(in inbound) error {
	for {
		if err := l.step(in); err != nil {
			return err
		}
		if in.snapshot != nil || len(l.replica.inbound) == 0 {
			return nil
		}
		in = <-l.replica.inbound
		if in.snapshot != nil {
			// A snapshot is settled on its own.
			if err := l.settle(); err != nil {
				return err
			}
		}
	}
}

func (l *loop) step(in inbound) error {
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
		l.calls = append(l.calls, in)
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

func (l *loop) handle(req request) error {
	switch {
	case req.failure != nil:
		return req.failure
	case req.read:
		l.read(req)
	case req.join != nil:
		l.admit(req)
	}
	return nil
}

func (l *loop) read(req request) {
	l.readID++
	if err := l.core.RequestRead(l.readID); err != nil {
		req.done <- outcome{err: err}
		return
	}
	l.reads[l.readID] = req.done
}

// settle carries out what the core has ready, until nothing is left.
func (l *loop) settle() error {
	for l.core.HasReady() {
		l.noteRound()
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
	l.answerCalls()
	l.noteRound() // A sole voter's round sends nothing.
	l.publish()
	l.dropReads()
	l.flush()
	return nil
}

// dropReads refuses the reads that wait when the leadership has ended.
func (l *loop) dropReads() {
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
	return l.replica.store.Append(l.core.HardState(), ready.Entries)
}

func (l *loop) installSnapshot(meta consensus.SnapshotMeta) error {
	if l.received == nil || l.received.header.Meta.Index != meta.Index {
		return kind.Errorf(kind.Internal, "snapshot %d is to be installed without its data", meta.Index)
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

// flush hands the applier what its channel has room for.
func (l *loop) flush() {
	l.received = nil
	l.startSnapshot()
	for len(l.backlog) > 0 {
		select {
		case l.replica.applies <- l.backlog[0]:
			l.backlog = l.backlog[1:]
		default:
			return
		}
	}
}

// send gives each message to the call that waits for it, or to the sender of its
// receiver: those that may go out before the sync, or the others.
func (l *loop) send(ready consensus.Ready, early bool) {
	l.syncSenders()
	for _, m := range ready.Messages {
		if ready.Early(m) != early || l.answer(m) {
			continue
		}
		s := l.senders[m.To]
		if s == nil {
			continue
		}
		if m.Type == consensus.MessageSnapshot {
			l.replica.group.Add(1)
			go s.transfer(m)
			continue
		}
		s.enqueue(m)
	}
}

func (l *loop) answer(m consensus.Message) bool {
	for i := range l.calls {
		if l.calls[i].from == m.To {
			l.calls[i].answers(m)
			return true
		}
	}
	return false
}

// answers collects a message for the answer of the call.
func (in *inbound) answers(m consensus.Message) { in.out = append(in.out, m) }

// answerCalls ends the RPCs whose messages were taken.
func (l *loop) answerCalls() {
	for _, call := range l.calls {
		call.reply <- call.out
	}
	l.calls = nil
}

// syncSenders keeps one sender for each other member.
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
