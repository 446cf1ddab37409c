package coordinator

import (
	"context"
	"slices"
	"time"
)

// Run polls the group until ctx ends. Only polls decide that a leader is lost: a call
// may also fail for a reason of its own.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.standstill.round(c.options.Now())
		leader := c.Leader()
		if leader != "" && c.pollLeader(ctx, leader) {
			c.wait(ctx, pollInterval)
			continue
		}
		startedAt := time.Now()
		c.search(ctx)
		c.sleep(ctx, searchInterval-time.Since(startedAt))
	}
}

// wait waits until d has passed, ctx ends, or shortly after a call to the leader failed.
func (c *Client) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.suspected:
		c.sleep(ctx, retryDelay)
	case <-ctx.Done():
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// suspect causes a poll of the leader.
func (c *Client) suspect() {
	select {
	case c.suspected <- struct{}{}:
	default: // A poll is due already.
	}
}

// view is the answer of one member to a poll.
type view struct {
	address string
	sentAt  time.Time
	reply   MembersReply
}

// pollLeader polls the leader and reports whether it confirmed that it leads and has a
// quorum. If it names another leader, that one is followed.
func (c *Client) pollLeader(ctx context.Context, leader string) bool {
	answer, err := c.poll(ctx, leader)
	if err != nil || answer.reply.Leader == "" {
		return false
	}
	c.applyView(answer)
	return answer.reply.Leader == leader && answer.reply.HasCatalog
}

// search polls all known members. It follows the leader of the highest term that a member
// names. A leader that none of those that answer names is lost.
func (c *Client) search(ctx context.Context) {
	views := c.pollAll(ctx)
	var newest *view
	for _, v := range views {
		if v.reply.Leader != "" && (newest == nil || v.supersedes(newest)) {
			newest = v
		}
	}
	if newest == nil {
		// Without any answer, the members or this process may be slow only.
		if len(views) > 0 || !c.heardLeaderWithin(pollInterval+pollTimeout) {
			c.loseLeader(len(views))
		}
		return
	}
	c.applyView(newest)
}

// heardLeaderWithin reports whether the leader has answered a poll within the given time, however
// long ago that was sent.
func (c *Client) heardLeaderWithin(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != "" && c.options.Now().Sub(c.heardLeaderAt) < within
}

// supersedes reports whether the view is newer than another one that names a leader, or
// as new and that of the leader itself.
func (v *view) supersedes(other *view) bool {
	return v.reply.Term > other.reply.Term || v.reply.Term == other.reply.Term && v.reply.HasCatalog
}

// pollAll polls all known members concurrently and returns the views of those that
// answer within searchInterval.
func (c *Client) pollAll(ctx context.Context) []*view {
	addresses := c.knownAddresses()
	answers := make(chan *view, len(addresses))
	for _, address := range addresses {
		go func() { answers <- c.pollMember(ctx, address) }()
	}
	timer := time.NewTimer(searchInterval)
	defer timer.Stop()
	var views []*view
	for range addresses {
		select {
		case answer := <-answers:
			if answer != nil {
				views = append(views, answer)
			}
		case <-timer.C:
			return views
		}
	}
	return views
}

// knownAddresses returns the addresses of the members and of the seeds.
func (c *Client) knownAddresses() []string {
	c.mu.Lock()
	addresses := slices.Concat(c.members, c.options.Seeds)
	c.mu.Unlock()
	if c.options.Local != nil {
		addresses = append(addresses, c.options.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// pollMember polls one member for search. A leader of a new term that it names is followed
// at once, since other members may be slow to answer. It returns nil if the member does
// not answer.
func (c *Client) pollMember(ctx context.Context, address string) *view {
	answer, err := c.poll(ctx, address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	isNew := answer.reply.Leader != "" && (c.leader == "" || answer.reply.Term > c.term)
	c.mu.Unlock()
	if isNew {
		c.applyView(answer)
	}
	return answer
}

// poll asks one member for its view of the group.
func (c *Client) poll(ctx context.Context, address string) (*view, error) {
	answer := &view{address: address, sentAt: c.options.Now()}
	if c.isLocal(address) {
		answer.reply = c.options.Local.Members()
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reply := new(MembersReply)
	if err := c.callMember(ctx, address, reply, func() { c.applyLateView(&view{address, answer.sentAt, *reply}) }); err != nil {
		return nil, err
	}
	answer.reply = *reply
	return answer, nil
}

// lateCaller is a controlapi.Caller that can wait for the reply of a call beyond its deadline.
type lateCaller interface {
	CallLate(ctx context.Context, address, method string, args, reply any, within time.Duration, late func()) error
}

// callMember asks a member for its view. late is called if it answers after the deadline of ctx, and
// not too late for a leader to be known by it.
func (c *Client) callMember(ctx context.Context, address string, reply *MembersReply, late func()) error {
	if caller, ok := c.options.Caller.(lateCaller); ok {
		return caller.CallLate(ctx, address, membersMethod, &MembersArgs{}, reply, electionGracePeriod-pollTimeout, late)
	}
	return c.options.Caller.Call(ctx, address, membersMethod, &MembersArgs{}, reply)
}

// applyLateView applies the answer of a leader that came after its poll was given up: a leader that is
// slow to answer leads all the same. Of other members, later polls tell.
func (c *Client) applyLateView(answer *view) {
	c.mu.Lock()
	isLate := answer.reply.Term < c.term || answer.reply.Leader != answer.address
	c.mu.Unlock()
	if !isLate && answer.reply.HasCatalog {
		c.applyView(answer)
	}
}

// applyView updates the known leader and members from the view of one member. While a
// leader is known, a view of an older term changes neither unless the leader sent it.
func (c *Client) applyView(answer *view) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &answer.reply
	if reply.HasCatalog && reply.Leader == answer.address {
		c.heardLeaderAt = c.options.Now()
	}
	if reply.HasCatalog && answer.sentAt.After(c.confirmedAt) {
		c.confirmedAt = answer.sentAt
	}
	if reply.Term < c.term && c.leader != "" && answer.address != c.leader {
		return
	}
	if len(reply.Addresses) > 0 {
		c.members = reply.Addresses
	}
	c.term = max(c.term, reply.Term)
	if reply.Leader != c.leader {
		c.options.Logger.Info().Str("leader", reply.Leader).Str("before", c.leader).Str("told_by", answer.address).Uint64("term", reply.Term).Msg("leader changed")
		c.setLeader(reply.Leader)
	}
	if reply.ClockNs > 0 && answer.address == c.leader {
		ahead := time.Duration(reply.ClockNs - answer.sentAt.UnixNano())
		c.leaderClockAhead = &ahead
	}
}
