package callload

import "mangohill.example/mangohill/route"

// hedge sends a copy of a request that is still under way to a slot that nobody
// waits for. The copy that is not needed any more keeps its slot to its end: a
// target cannot be made to stop.
func (w *pooled) hedge(req int32, sent int64) {
	q := w.requests[req]
	if !q.live || q.void || q.twin > 0 || q.target < 0 || q.sent != sent {
		return
	}
	index := w.take()
	again := w.request(req)
	again.ID = route.RequestID(index)
	again.Avoid = []string{w.targets[q.target]}
	d, ok := w.pools[q.entry].Hedge(w.time(), again)
	if !ok {
		w.release(index)
		return
	}
	twin := q
	twin.twin, twin.target, twin.hedge = req+1, -1, true
	if w.config.Policy == HedgeRedraw {
		twin.service = w.draw(w.choice)
	}
	w.requests[index] = twin
	w.requests[req].twin = index + 1
	w.result.Hedges++
	w.act(q.entry, d)
}
