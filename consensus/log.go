package consensus

import "sort"

// entryLog is the log after the last compacted entry, in memory.
type entryLog struct {
	// base is the index of the last compacted entry and baseTerm its term.
	base, baseTerm uint64
	entries        []Entry
	bytes          int // memory of all entries, see Entry.size
	// persisted is the last index that the driver persisted.
	persisted uint64
	committed uint64
	// applied is the last index returned in Ready.Committed.
	applied uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, false if the log does not hold
// it.
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
	present, ok := l.term(index)
	return ok && present == term
}

// isUpToDate reports whether a log whose last entry is (index, term) is at
// least as up to date as this one (Raft paper, section 5.4.1).
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

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.base-1]
	for _, e := range l.entries[len(kept):] {
		l.bytes -= e.size()
	}
	// The full slice expression keeps later appends from overwriting entries that
	// were returned by slice before.
	l.entries = kept[:len(kept):len(kept)]
	l.persisted = min(l.persisted, index-1)
}

// slice returns the entries in [from, to] that fit into limit bytes, but at
// least one.
func (l *entryLog) slice(from, to uint64, limit int) []Entry {
	if from > to || from <= l.base {
		return nil
	}
	available := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range available {
		size += e.size()
		if size > limit && i > 0 {
			return available[:i:i]
		}
	}
	return available[:len(available):len(available)]
}

// compact drops all entries up to and including index.
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

// reset empties the log and starts it after a snapshot that ends at index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, persisted: index, committed: index, applied: index}
}

// lastPossibleMatch returns the last index up to limit whose entry has at most
// the given term. Later entries up to limit cannot match a leader's log that
// has this term at a higher index.
func (l *entryLog) lastPossibleMatch(limit, term uint64) uint64 {
	limit = min(limit, l.last())
	if limit <= l.base {
		return limit
	}
	count := int(limit - l.base)
	matchable := sort.Search(count, func(i int) bool { return l.entries[i].Term > term })
	return l.base + uint64(matchable)
}
