package callload

import "mangohill.example/mangohill/route"

// hedge sends a second copy of a request that is still running to a free slot for
// which no request waits. The slower copy keeps its slot until it ends, since a
// target cannot cancel a request.
func (p *pooled) hedge(req int32, sent int64) {
	q := p.requests[req]
	if !q.live || q.superseded || q.otherCopy > 0 || q.target < 0 || q.sentNs != sent {
		return
	}
	index := p.allocate()
	hedged := p.request(req)
	hedged.ID = route.RequestID(index)
	hedged.Avoid = []string{p.targets[q.target]}
	d, ok := p.pools[q.entry].Hedge(p.time(), hedged)
	if !ok {
		p.release(index)
		return
	}
	copied := q
	copied.otherCopy, copied.target, copied.isHedge = req+1, -1, true
	if p.config.Policy == HedgeRedraw {
		copied.workSeconds = p.drawServiceTime(p.policyRandom)
	}
	p.requests[index] = copied
	p.requests[req].otherCopy = index + 1
	p.result.Hedges++
	p.execute(q.entry, d)
}
