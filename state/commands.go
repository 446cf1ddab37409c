package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"mangohill.example/mangohill/kind"
)

const (
	// maxOutcomes limits the command outcomes that are kept.
	maxOutcomes = 4096
	// maxForgottenIDs limits the hashes of command IDs whose outcomes were dropped.
	// The hashes keep a resend of such a command from being applied again.
	maxForgottenIDs = 65536
	// maxStoredTextBytes limits the stored text of a command and the detail of an
	// event; longer ones are truncated.
	maxStoredTextBytes = 160
	// maxCommandIDBytes limits a command ID.
	maxCommandIDBytes = 128
	// maxClockLeadMs limits by how many milliseconds the time in a command ID may be
	// ahead of the entry's time. IDs beyond it do not move the horizon.
	maxClockLeadMs = 3_600_000
)

// Outcome is the stored outcome of a command. AtMs is the leader's wall clock in
// milliseconds since the Unix epoch.
type Outcome struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Digest  uint64
	AtMs    int64
	Text    string
	Kind    kind.Kind // kind of the error, empty for success
	Message string
	Version uint64
}

// commandTable holds the outcomes of the newest commands, so that a command that is
// resent is not applied twice. Older IDs are recognised by their hashes. Once a hash
// is dropped too, an ID that holds a time (UUID version 7, RFC 9562) is recognised by
// the horizon: it counts as old if its time is not after the highest time of a
// dropped ID.
type commandTable struct {
	outcomes       map[string]*Outcome
	outcomeOrder   []string
	forgotten      map[uint64]struct{}
	forgottenOrder []uint64
	horizonMs      int64
}

func newCommandTable() commandTable {
	return commandTable{outcomes: make(map[string]*Outcome), forgotten: make(map[uint64]struct{})}
}

// CommandDigest returns the hash of a command's text and of the file sent with it.
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
		Text:    truncate(op.Text, maxStoredTextBytes),
		Version: result.Version,
		Message: result.Message,
	}
	if result.Err != nil {
		outcome.Kind = result.Err.Kind
		outcome.Message = result.Err.Detail
	}
	s.commands.add(outcome)
	return result
}

func truncate(text string, limit int) string {
	if len(text) > limit {
		return text[:limit]
	}
	return text
}

// lookup returns the result for a command that must not be applied: its earlier
// outcome, or an error if the ID is invalid, reused or older than the table.
func (c *commandTable) lookup(id string, digest uint64) (Result, bool) {
	if id == "" || len(id) > maxCommandIDBytes {
		return refuse(kind.BadRequest, "command ID of %d bytes: between 1 and %d are allowed", len(id), maxCommandIDBytes), true
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

func (c *commandTable) add(o *Outcome) {
	c.outcomes[o.ID] = o
	c.outcomeOrder = append(c.outcomeOrder, o.ID)
	for len(c.outcomeOrder) > maxOutcomes {
		c.forget(c.outcomes[c.outcomeOrder[0]])
		c.outcomeOrder = c.outcomeOrder[1:]
	}
}

func (c *commandTable) forget(o *Outcome) {
	delete(c.outcomes, o.ID)
	if at, ok := idTime(o.ID); ok && at <= o.AtMs+maxClockLeadMs {
		c.horizonMs = max(c.horizonMs, at)
	}
	hash := xxhash.Sum64String(o.ID)
	c.forgotten[hash] = struct{}{}
	c.forgottenOrder = append(c.forgottenOrder, hash)
	if len(c.forgottenOrder) > maxForgottenIDs {
		delete(c.forgotten, c.forgottenOrder[0])
		c.forgottenOrder = c.forgottenOrder[1:]
	}
}

// idTime returns the time that a UUID of version 7 holds, in milliseconds since the
// Unix epoch, and false for any other ID.
func idTime(id string) (int64, bool) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(parsed[:8]) >> 16), true
}
