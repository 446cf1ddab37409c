package consensus

import "sort"

// entryLog is the part of the log after the last compacted entry.
type entryLog struct {
	// base is the index of the last compacted entry, baseTerm its term.
	base, baseTerm uint64
	entries        []Entry
	bytes          int
	// stable is the last index that the driver persisted.
	stable    uint64
	committed uint64
	// applied is the last index handed out in Ready.Committed.
	applied uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// isUpToDate reports whether a log ending in (index, term) is at least as
// complete as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

func (l *entryLog) append(entries ...Entry) {
	for _, e := range entries {
		l.bytes += e.size()
	}
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.base-1]
	for _, e := range l.entries[len(kept):] {
		l.bytes -= e.size()
	}
	// A full slice expression: the entries handed out before are not overwritten.
	l.entries = kept[:len(kept):len(kept)]
	l.stable = min(l.stable, index-1)
}

// slice returns the entries from index on, up to limit bytes but at least one.
func (l *entryLog) slice(from, to uint64, limit int) []Entry {
	if from > to || from <= l.base {
		return nil
	}
	all := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range all {
		size += e.size()
		if size > limit && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		return
	}
	dropped := int(index - l.base)
	for _, e := range l.entries[:dropped] {
		l.bytes -= e.size()
	}
	kept := make([]Entry, len(l.entries)-dropped)
	copy(kept, l.entries[dropped:])
	l.entries = kept
	l.base, l.baseTerm = index, term
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, committed: index, applied: index}
}

// lastIndexBelow returns the last index up to limit whose term is at most term.
func (l *entryLog) lastIndexBelow(limit, term uint64) uint64 {
	limit = min(limit, l.last())
	if limit <= l.base {
		return limit
	}
	count := int(limit - l.base)
	above := sort.Search(count, func(i int) bool { return l.entries[i].Term > term })
	return l.base + uint64(above)
}
