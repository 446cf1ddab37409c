package workflow

import (
	"cmp"
	"iter"
	"math/bits"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/internal/cborcodec"
)

// Occurrence is one run of a job's steps.
type Occurrence struct {
	_ struct{} `cbor:",toarray"`
	// Steps holds the tasks of each step, in the order of JobSpec.Steps.
	Steps [][]Task
	// Done is the number of done tasks of each step.
	Done []uint32
	// attempts is the number of attempts that are recorded on workers.
	attempts int
}

func newOccurrence(steps []Step) *Occurrence {
	o := &Occurrence{Steps: make([][]Task, len(steps)), Done: make([]uint32, len(steps))}
	for i := range steps {
		o.Steps[i] = make([]Task, steps[i].Count)
	}
	return o
}

func (o *Occurrence) done() bool {
	for i := range o.Steps {
		if int(o.Done[i]) < len(o.Steps[i]) {
			return false
		}
	}
	return true
}

// begun reports whether a task of the occurrence differs from one that had no attempt.
func (o *Occurrence) begun() bool {
	for _, tasks := range o.Steps {
		if slices.ContainsFunc(tasks, func(t Task) bool { return t != Task{} }) {
			return true
		}
	}
	return false
}

// settled reports whether the tasks of an encoded occurrence are as those of one that was
// done and is not held any more.
func (o *Occurrence) settled() bool {
	for _, tasks := range o.Steps {
		if slices.ContainsFunc(tasks, func(t Task) bool { return t != Task{State: TaskDone} }) {
			return false
		}
	}
	return true
}

// Occurrences holds the tasks of all occurrences of a job. An occurrence takes memory of its
// own from its first attempt until all of its tasks are done and no attempt of them is
// recorded on a worker. Before and after that its tasks follow from the steps; only their
// state is known of tasks that were done. A job's only occurrence is held throughout.
type Occurrences struct {
	steps []Step
	count uint32
	// held is sorted by index.
	held []heldOccurrence
	// done has a bit for each occurrence that is done and not held, doneCount the number of
	// them.
	done      []uint64
	doneCount uint32
}

type heldOccurrence struct {
	index uint32
	*Occurrence
}

// NewOccurrences returns the occurrences of a job that has not begun.
func NewOccurrences(spec *JobSpec) Occurrences {
	o := Occurrences{steps: spec.Steps, count: spec.Occurrences()}
	if o.count == 1 {
		o.hold(0)
	}
	return o
}

// Len returns the number of occurrences.
func (o *Occurrences) Len() uint32 { return o.count }

// Held returns the occurrences that take memory of their own, with their indexes, in
// ascending order.
func (o *Occurrences) Held() iter.Seq2[uint32, *Occurrence] {
	return func(yield func(uint32, *Occurrence) bool) {
		for _, h := range o.held {
			if !yield(h.index, h.Occurrence) {
				return
			}
		}
	}
}

// Tasks returns the tasks of a step of an occurrence. The caller must not modify them.
func (o *Occurrences) Tasks(occurrence, step uint32) []Task {
	if held := o.find(occurrence); held != nil {
		return held.Steps[step]
	}
	tasks := make([]Task, o.steps[step].Count)
	if o.isDone(occurrence) {
		for i := range tasks {
			tasks[i].State = TaskDone
		}
	}
	return tasks
}

// Done returns the number of done tasks of a step of an occurrence.
func (o *Occurrences) Done(occurrence, step uint32) uint32 {
	switch held := o.find(occurrence); {
	case held != nil:
		return held.Done[step]
	case o.isDone(occurrence):
		return o.steps[step].Count
	}
	return 0
}

// Open returns the number of tasks of a step that are not done, in all occurrences.
func (o *Occurrences) Open(step uint32) uint64 {
	open := uint64(o.count-o.doneCount) * uint64(o.steps[step].Count)
	for _, h := range o.held {
		open -= uint64(h.Done[step])
	}
	return open
}

// AppendPending appends the indexes of the pending tasks of a step of an occurrence.
func (o *Occurrences) AppendPending(pending []uint32, occurrence, step uint32) []uint32 {
	held := o.find(occurrence)
	if held == nil && o.isDone(occurrence) {
		return pending
	}
	for i := range o.steps[step].Count {
		if held == nil || held.Steps[step][i].State == TaskPending {
			pending = append(pending, i)
		}
	}
	return pending
}

// Next returns the first occurrence from the given one on that is held or has not begun,
// Len if there is none.
func (o *Occurrences) Next(from uint32) uint32 {
	for from < o.count && o.isDone(from) {
		if rest := ^o.done[from/64] >> (from % 64); rest != 0 {
			from += uint32(bits.TrailingZeros64(rest))
		} else {
			from += 64 - from%64
		}
	}
	return min(from, o.count)
}

// find returns a held occurrence, nil for another one.
func (o *Occurrences) find(occurrence uint32) *Occurrence {
	if o.count == 1 {
		return o.held[0].Occurrence
	}
	if i, ok := o.search(occurrence); ok {
		return o.held[i].Occurrence
	}
	return nil
}

func (o *Occurrences) search(occurrence uint32) (int, bool) {
	return slices.BinarySearchFunc(o.held, occurrence, func(h heldOccurrence, index uint32) int { return cmp.Compare(h.index, index) })
}

func (o *Occurrences) isDone(occurrence uint32) bool {
	return o.done != nil && o.done[occurrence/64]>>(occurrence%64)&1 != 0
}

// hold returns an occurrence that is not done, which takes memory from then on.
func (o *Occurrences) hold(occurrence uint32) *Occurrence {
	i, held := o.search(occurrence)
	if !held {
		o.held = slices.Insert(o.held, i, heldOccurrence{occurrence, newOccurrence(o.steps)})
	}
	return o.held[i].Occurrence
}

// settle drops the tasks of an occurrence that is done and of which no attempt is recorded. It
// reports whether it did.
func (o *Occurrences) settle(occurrence uint32) bool {
	i, held := o.search(occurrence)
	if !held || o.count == 1 || o.held[i].attempts > 0 || !o.held[i].Occurrence.done() {
		return false
	}
	o.held = slices.Delete(o.held, i, i+1)
	o.markDone(occurrence)
	return true
}

func (o *Occurrences) markDone(occurrence uint32) {
	if o.done == nil {
		o.done = make([]uint64, (o.count+63)/64)
	}
	o.done[occurrence/64] |= 1 << (occurrence % 64)
	o.doneCount++
}

// MarshalCBOR encodes all occurrences in full, as earlier versions do, which held each.
func (o Occurrences) MarshalCBOR() ([]byte, error) {
	data := appendArrayHead(nil, o.count)
	var ofState [TaskDone + 1][]byte // Occurrences that are not held, by the state of their tasks.
	held := o.held
	for i := range o.count {
		if len(held) > 0 && held[0].index == i {
			encoded, err := cborcodec.Encode.Marshal(held[0].Occurrence)
			if err != nil {
				return nil, err
			}
			data, held = append(data, encoded...), held[1:]
			continue
		}
		state := TaskPending
		if o.isDone(i) {
			state = TaskDone
		}
		if ofState[state] == nil {
			encoded, err := cborcodec.Encode.Marshal(o.uniform(state))
			if err != nil {
				return nil, err
			}
			ofState[state] = encoded
			data = slices.Grow(data, int(o.count-i)*len(encoded))
		}
		data = append(data, ofState[state]...)
	}
	return data, nil
}

// uniform returns an occurrence whose tasks are all pending, or all done, without attempts.
func (o *Occurrences) uniform(state TaskState) *Occurrence {
	next := newOccurrence(o.steps)
	for s := range next.Steps {
		for t := range next.Steps[s] {
			next.Steps[s][t].State = state
		}
		if state == TaskDone {
			next.Done[s] = o.steps[s].Count
		}
	}
	return next
}

// appendArrayHead appends the head of a CBOR array in its shortest form (RFC 8949, section 3).
func appendArrayHead(data []byte, length uint32) []byte {
	const array = 4 << 5
	switch {
	case length < 24:
		return append(data, array|byte(length))
	case length <= 0xff:
		return append(data, array|24, byte(length))
	case length <= 0xffff:
		return append(data, array|25, byte(length>>8), byte(length))
	}
	return append(data, array|26, byte(length>>24), byte(length>>16), byte(length>>8), byte(length))
}

// UnmarshalCBOR decodes the occurrences and holds those that have begun and are not settled.
// The steps are set by attach.
func (o *Occurrences) UnmarshalCBOR(data []byte) error {
	var encoded []cbor.RawMessage
	if err := cborcodec.Decode.Unmarshal(data, &encoded); err != nil {
		return err
	}
	*o = Occurrences{count: uint32(len(encoded))}
	untouched := ""
	for i, raw := range encoded {
		if string(raw) == untouched && o.count > 1 {
			continue
		}
		next := new(Occurrence)
		if err := cborcodec.Decode.Unmarshal(raw, next); err != nil {
			return err
		}
		switch {
		case o.count > 1 && !next.begun():
			untouched = string(raw)
		case o.count > 1 && next.settled():
			o.markDone(uint32(i))
		default:
			o.held = append(o.held, heldOccurrence{uint32(i), next})
		}
	}
	return nil
}

// attach sets the steps of decoded occurrences.
func (o *Occurrences) attach(spec *JobSpec) { o.steps = spec.Steps }
