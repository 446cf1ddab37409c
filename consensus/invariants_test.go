package consensus_test

import (
	"fmt"

	"mangohill.example/mangohill/consensus"
)

// recordRound records the start time of a new heartbeat round.
func (h *host) recordRound() {
	if h.core.Status().Role != consensus.Leader {
		clear(h.rounds)
		return
	}
	if _, ok := h.rounds[h.core.Round()]; !ok {
		h.rounds[h.core.Round()] = h.sim.now
	}
}

// quorumContact returns the start time of the latest heartbeat round that a
// quorum answered.
func (h *host) quorumContact() (int, bool) {
	at, ok := h.rounds[h.core.QuorumRound()]
	return at, ok
}

// checkNewLeader checks the election invariants if this host has just become
// leader of a new term.
func (h *host) checkNewLeader() {
	status := h.core.Status()
	if status.Role != consensus.Leader || status.Term == h.lastLedTerm {
		return
	}
	h.lastLedTerm = status.Term
	h.sim.elections++
	h.sim.checkElection(h, status.Term)
	h.sim.checkCompleteness(h)
	h.sim.checkQuorumContacts(h, status.Term)
}

// checkElection checks that each term has at most one leader.
func (s *sim) checkElection(h *host, term uint64) {
	if other, ok := s.leaders[term]; ok && other != h.id {
		violate("election safety: %s and %s lead in term %d", other, h.id, term)
	}
	s.leaders[term] = h.id
}

// checkCompleteness checks that a new leader holds every entry committed in an
// earlier term.
func (s *sim) checkCompleteness(h *host) {
	for index, entry := range s.committed {
		if s.committedTerm[index] >= h.lastLedTerm {
			continue
		}
		term, ok := h.core.TermAt(index)
		if index >= h.core.Base() && (!ok || entry[:termDigits] != fmt.Sprintf("%08d", term)) {
			violate("leader completeness: %s leads in term %d without committed entry %d (%q)", h.id, h.lastLedTerm, index, entry)
		}
	}
}

// checkQuorumContacts checks that no leader is elected while an older leader
// may still consider itself confirmed by a quorum, that is within the election
// timeout after its last quorum contact. Two ticks are subtracted for the
// clocks' phases and rates.
func (s *sim) checkQuorumContacts(h *host, term uint64) {
	for _, old := range s.hosts {
		if old == h || old.core == nil || old.core.Status().Role != consensus.Leader || old.core.Status().Term >= term {
			continue
		}
		if at, ok := old.quorumContact(); ok && s.now-at < simElectionTicks-2 {
			violate("leadership handover: %s leads in term %d, %d ticks after a quorum contact of %s", h.id, term, s.now-at, old.id)
		}
	}
}

// termDigits is the width of the term at the start of a recorded entry.
const termDigits = 8

// recordCommitted records a committed entry and checks that all hosts apply the
// same entry at each index.
func (s *sim) recordCommitted(h *host, e consensus.Entry) {
	entry := fmt.Sprintf("%08d %d %s", e.Term, e.Type, e.Data)
	if other, ok := s.committed[e.Index]; ok && other != entry {
		violate("state machine safety: %s applies %q at %d, another host applied %q", h.address, entry, e.Index, other)
	}
	if _, ok := s.committed[e.Index]; !ok {
		s.committedTerm[e.Index] = h.core.Status().Term
	}
	s.committed[e.Index] = entry
	if e.Index <= s.lastCommitted {
		return
	}
	s.lastCommitted = e.Index
	if e.Type == consensus.EntryMembership {
		members, err := consensus.DecodeMembership(e.Data)
		if err != nil {
			violate("membership: %v", err)
		}
		s.membership = members
	}
}

// checkLogs checks that two logs that agree at an index agree at all earlier
// ones.
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

// pendingRepairs counts the lost disks whose replacement is not a committed
// voter yet.
func (s *sim) pendingRepairs() int {
	pending := 0
	for _, h := range s.hosts {
		if member, ok := s.membership.Find(h.id); ok && member.Voter {
			h.awaitsRepair = false
		}
		if h.awaitsRepair {
			pending++
		}
	}
	return pending
}

// toleratedDiskLosses returns the number of disks that may be lost at the same
// time without losing a committed entry.
func (s *sim) toleratedDiskLosses() int { return (s.membership.Voters() - 1) / 2 }

// endFaultsAndCheck ends all faults, lets the hosts catch up, and checks the
// final state.
func (s *sim) endFaultsAndCheck() {
	s.faults.loss, s.faults.duplicate, s.faults.delay = 0, 0, 0
	clear(s.isolated)
	clear(s.cutLinks)
	for _, h := range s.hosts {
		h.frozenUntil = 0
		h.disk.FillAfter(-1, 0)
		for h.core == nil && !h.full {
			h.disk.Crash()
			h.boot()
		}
		h.disk.CrashAfter(-1)
	}
	const settleTicks = 1500
	for tick := 0; tick < settleTicks; tick++ {
		s.step()
		if tick%10 == 0 {
			s.propose()
		}
	}
	for range 50 {
		s.step()
	}
	s.checkFinalState(s.now - settleTicks)
}

// checkFinalState checks that after the faults commands are accepted again, and
// that every host has applied all entries and holds every acknowledged command
// exactly once.
func (s *sim) checkFinalState(int) {
	if s.pendingRepairs() > 0 {
		violate("liveness: a lost disk is not repaired: members %v", s.membership.Members)
	}
	for _, h := range s.hosts {
		if h.applied != s.lastCommitted {
			violate("liveness: %s has applied %d of %d", h.address, h.applied, s.lastCommitted)
		}
		held := make(map[string]bool)
		for _, command := range h.state {
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
