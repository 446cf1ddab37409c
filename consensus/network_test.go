package consensus_test

import "mangohill.example/mangohill/consensus"

func (h *host) send(m consensus.Message) {
	s := h.sim
	to := s.hostOf(m)
	p := packet{m: m, from: h, to: to}
	if m.Type == consensus.MessageSnapshot {
		header, data, err := h.store.ReadSnapshot(m.Snapshot.Index)
		if err != nil {
			h.core.ReportSnapshot(m.To)
			return
		}
		p.header, p.data = header, data
	}
	if to == nil || !s.connected(h, to) || s.random.Float64() < s.faults.loss {
		s.drop(p)
		return
	}
	copies := 1
	if s.random.Float64() < s.faults.duplicate {
		copies = 2
	}
	for range copies {
		p.at = s.now + 1 + s.random.IntN(s.faults.delay+1)
		s.inFlight = append(s.inFlight, p)
	}
}

// hostOf returns the host that runs the member to which m is addressed, nil if
// there is none.
func (s *sim) hostOf(m consensus.Message) *host {
	for _, h := range s.hosts {
		if h.id == m.To {
			return h
		}
	}
	return nil
}

// drop discards a packet. If it held a snapshot, the sender is told that the
// transfer failed.
func (s *sim) drop(p packet) {
	if p.m.Type == consensus.MessageSnapshot && p.from.core != nil && p.from.id == p.m.From {
		p.from.core.ReportSnapshot(p.m.To)
	}
}

func (s *sim) deliver() {
	packets := s.inFlight
	s.inFlight = nil
	for _, p := range packets {
		if p.at > s.now || p.to.core != nil && !p.to.isRunning() {
			s.inFlight = append(s.inFlight, p)
			continue
		}
		if p.to.core == nil || p.to.id != p.m.To || !s.connected(p.from, p.to) {
			s.drop(p)
			continue
		}
		p.to.receive(p)
		if p.to.core == nil {
			s.drop(p)
		}
	}
}

func (h *host) receive(p packet) {
	if p.m.Type == consensus.MessageSnapshot {
		h.incoming = &p
	}
	if err := h.core.Step(p.m); err != nil {
		violate("%s: %v", h.address, err)
	}
	h.processReady()
}
