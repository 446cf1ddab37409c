package consensus_test

import (
	"fmt"

	"mangohill.example/mangohill/consensus"
)

// noteRound records when a heartbeat round begins.
func (h *host) noteRound() {
	if h.core.Status().Role != consensus.Leader {
		clear(h.rounds)
		return
	}
	if _, ok := h.rounds[h.core.Round()]; !ok {
		h.rounds[h.core.Round()] = h.sim.now
	}
}

// contact returns when the latest round began that a quorum answered.
func (h *host) contact() (int, bool) {
	at, ok := h.rounds[h.core.QuorumRound()]
	return at, ok
}

// observe checks the invariants of elections when a host has become leader.
func (h *host) observe() {
	status := h.core.Status()
	if status.Role != consensus.Leader || status.Term == h.term {
		return
	}
	h.term = status.Term
	h.sim.elections++
	h.sim.checkElection(h, status.Term)
	h.sim.checkCompleteness(h)
	h.sim.checkContacts(h, status.Term)
}

// checkElection: at most one leader for each term.
func (s *sim) checkElection(h *host, term uint64) {
	if other, ok := s.leaders[term]; ok && other != h.id {
		violate("election safety: %s and %s lead in term %d", other, h.id, term)
	}
	s.leaders[term] = h.id
}

// checkCompleteness: a leader holds every entry committed in an earlier term.
func (s *sim) checkCompleteness(h *host) {
	for index, entry := range s.committed {
		if s.committedIn[index] >= h.term {
			continue
		}
		term, ok := h.core.TermAt(index)
		if index >= h.core.Base() && (!ok || entry[:termDigits] != fmt.Sprintf("%08d", term)) {
			violate("leader completeness: %s leads in term %d without committed entry %d (%q)", h.id, h.term, index, entry)
		}
	}
}

// checkContacts: no leader is elected while an older one could still believe in
// a quorum contact within the election timeout, less two ticks for the phase
// and the rate of the clocks.
func (s *sim) checkContacts(h *host, term uint64) {
	for _, old := range s.hosts {
		if old == h || old.core == nil || old.core.Status().Role != consensus.Leader || old.core.Status().Term >= term {
			continue
		}
		if at, ok := old.contact(); ok && s.now-at < simElectionTicks-2 {
			violate("leadership handover: %s leads in term %d, %d ticks after a quorum contact of %s", h.id, term, s.now-at, old.id)
		}
	}
}

const termDigits = 8

// noteCommitted checks that all hosts apply the same entry at the same index.
func (s *sim) noteCommitted(h *host, e consensus.Entry) {
	entry := fmt.Sprintf("%08d %d %s", e.Term, e.Type, e.Data)
	if other, ok := s.committed[e.Index]; ok && other != entry {
		violate("state machine safety: %s applies %q at %d, another host applied %q", h.address, entry, e.Index, other)
	}
	if _, ok := s.committed[e.Index]; !ok {
		s.committedIn[e.Index] = h.core.Status().Term
	}
	s.committed[e.Index] = entry
	if e.Index <= s.last {
		return
	}
	s.last = e.Index
	if e.Type == consensus.EntryMembership {
		members, err := consensus.DecodeMembership(e.Data)
		if err != nil {
			violate("membership: %v", err)
		}
		s.members = members
	}
}

// checkLogs: two logs that agree at an index agree before it.
func (s *sim) checkLogs() {
	for i, a := range s.hosts {
		for _, b := range s.hosts[i+1:] {
			if a.core != nil && b.core != nil {
				checkLogPair(a, b)
			}
		}
	}
}

func checkLogPair(a, b *host) {
	low := max(a.core.Base(), b.core.Base())
	agreed := false
	for index := min(a.core.Status().LastIndex, b.core.Status().LastIndex); index >= low && index > 0; index-- {
		termA, okA := a.core.TermAt(index)
		termB, okB := b.core.TermAt(index)
		same := okA && okB && termA == termB
		if agreed && !same {
			violate("log matching: %s and %s differ at %d but agree later", a.id, b.id, index)
		}
		agreed = agreed || same
	}
}

// repairs counts the lost disks whose replacement is not yet a committed voter.
func (s *sim) repairs() int {
	open := 0
	for _, h := range s.hosts {
		if member, ok := s.members.Find(h.id); ok && member.Voter {
			h.repair = false
		}
		if h.repair {
			open++
		}
	}
	return open
}

// tolerated returns the number of disks that may be lost at once.
func (s *sim) tolerated() int { return (s.members.Voters() - 1) / 2 }

// heal ends all faults and waits until every host has everything.
func (s *sim) heal() {
	s.faults.loss, s.faults.duplicate, s.faults.delay = 0, 0, 0
	clear(s.cut)
	clear(s.links)
	for _, h := range s.hosts {
		h.frozen = 0
		for h.core == nil {
			h.disk.Crash()
			h.boot()
		}
		h.disk.CrashAfter(-1)
	}
	const enough = 1500
	for tick := 0; tick < enough; tick++ {
		s.step()
		if tick%10 == 0 {
			s.propose()
		}
	}
	for range 50 {
		s.step()
	}
	s.checkEnd(s.now - enough)
}

// checkEnd: after the faults, commands are accepted again, and every host holds
// every command that was ever acknowledged, in the same order.
func (s *sim) checkEnd(int) {
	if s.repairs() > 0 {
		violate("liveness: a lost disk is not repaired: members %v", s.members.Members)
	}
	for _, h := range s.hosts {
		if h.applied != s.last {
			violate("liveness: %s has applied %d of %d", h.address, h.applied, s.last)
		}
		held := make(map[string]bool)
		for _, command := range h.machine {
			if held[command] {
				violate("%s holds %q twice", h.address, command)
			}
			held[command] = true
		}
		for command, index := range s.acked {
			if !held[command] {
				violate("durability: %s lost acknowledged %q at %d", h.address, command, index)
			}
		}
	}
	if _, ok := s.acked[fmt.Sprint("command ", s.commands-1)]; !ok {
		violate("liveness: the last commands are not acknowledged")
	}
}
