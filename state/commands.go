package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"mangohill.example/mangohill/kind"
)

const (
	// maxOutcomes is the number of command outcomes that are kept.
	maxOutcomes = 4096
	// maxForgotten is the number of hashes of older command IDs that are kept, so
	// that their resends are known not to be new.
	maxForgotten = 65536
	// maxCommandText bounds the kept text of a command, in bytes.
	maxCommandText = 160
	// maxCommandID bounds a command ID, in bytes.
	maxCommandID = 128
	// maxClockLeadMs is how far the time within a command ID may be ahead of the
	// entry's time before the ID counts as one without a time.
	maxClockLeadMs = 3_600_000
)

// Outcome is the recorded outcome of a command.
type Outcome struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Digest  uint64
	AtMs    int64
	Text    string
	Kind    kind.Kind // empty for a command that was done
	Message string
	Version uint64
}

// commandTable is the bounded table of command outcomes. Older IDs are known by
// their hashes, and IDs that hold a time (UUID version 7, RFC 9562) by the
// horizon: the highest time of a forgotten ID.
type commandTable struct {
	outcomes  map[string]*Outcome
	order     []string
	forgotten map[uint64]struct{}
	hashes    []uint64
	horizonMs int64
}

func newCommandTable() commandTable {
	return commandTable{outcomes: make(map[string]*Outcome), forgotten: make(map[uint64]struct{})}
}

// CommandDigest returns the digest of a command's text and file.
func CommandDigest(text, file string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(text) // xxhash never fails.
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(file)
	return digest.Sum64()
}

func (op Command) apply(s *Store) Result {
	if known, ok := s.commands.lookup(op.ID, op.Digest); ok {
		return known
	}
	result := op.Op.apply(s)
	outcome := &Outcome{
		ID:      op.ID,
		Digest:  op.Digest,
		AtMs:    s.nowMs,
		Text:    truncate(op.Text, maxCommandText),
		Version: result.Version,
		Message: result.Message,
	}
	if result.Err != nil {
		outcome.Kind = result.Err.Kind
		outcome.Message = result.Err.Detail
	}
	s.commands.keep(outcome)
	return result
}

func truncate(text string, limit int) string {
	if len(text) > limit {
		return text[:limit]
	}
	return text
}

// lookup returns the result of a command that was applied before.
func (c *commandTable) lookup(id string, digest uint64) (Result, bool) {
	if id == "" || len(id) > maxCommandID {
		return refuse(kind.BadRequest, "command ID of %d bytes: between 1 and %d are allowed", len(id), maxCommandID), true
	}
	if outcome, ok := c.outcomes[id]; ok {
		return outcome.result(digest), true
	}
	_, known := c.forgotten[xxhash.Sum64String(id)]
	at, timed := idTime(id)
	if known || (timed && at <= c.horizonMs) {
		return refuse(kind.UnknownOutcome, "command %q is older than the table of outcomes", id), true
	}
	return Result{}, false
}

func (o *Outcome) result(digest uint64) Result {
	if o.Digest != digest {
		return refuse(kind.CommandReused, "command ID %q was used for %q", o.ID, o.Text)
	}
	result := Result{Version: o.Version, Message: o.Message}
	if o.Kind != "" {
		result.Err = kind.Errorf(o.Kind, "%s", o.Message)
		result.Message = ""
	}
	return result
}

func (c *commandTable) keep(o *Outcome) {
	c.outcomes[o.ID] = o
	c.order = append(c.order, o.ID)
	for len(c.order) > maxOutcomes {
		c.forget(c.outcomes[c.order[0]])
		c.order = c.order[1:]
	}
}

func (c *commandTable) forget(o *Outcome) {
	delete(c.outcomes, o.ID)
	if at, ok := idTime(o.ID); ok && at <= o.AtMs+maxClockLeadMs {
		c.horizonMs = max(c.horizonMs, at)
	}
	hash := xxhash.Sum64String(o.ID)
	c.forgotten[hash] = struct{}{}
	c.hashes = append(c.hashes, hash)
	if len(c.hashes) > maxForgotten {
		delete(c.forgotten, c.hashes[0])
		c.hashes = c.hashes[1:]
	}
}

// idTime returns the time in milliseconds since the Unix epoch that a UUID of
// version 7 holds.
func idTime(id string) (int64, bool) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(parsed[:8]) >> 16), true
}
