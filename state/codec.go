package state

import (
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/internal/cborcodec"
	"mangohill.example/mangohill/kind"
)

// maxOpsPerEntry limits the operations of one log entry.
const maxOpsPerEntry = 4096

// Encode encodes the operations as a log entry. nowMs is the leader's wall clock in
// milliseconds since the Unix epoch. The error is of kind body_too_large for too
// many operations.
func Encode(nowMs int64, ops ...Op) ([]byte, error) {
	if len(ops) > maxOpsPerEntry {
		return nil, kind.Errorf(kind.BodyTooLarge, "log entry of %d operations exceeds %d", len(ops), maxOpsPerEntry)
	}
	e := entry{NowMs: nowMs, Ops: make([]rawOp, 0, len(ops))}
	for _, op := range ops {
		raw, err := encodeOp(op)
		if err != nil {
			return nil, err
		}
		e.Ops = append(e.Ops, raw)
	}
	return cborcodec.Encode.Marshal(e)
}

func encodeOp(op Op) (rawOp, error) {
	var value any = op
	if command, ok := op.(Command); ok {
		inner, err := encodeOp(command.Op)
		if err != nil {
			return rawOp{}, err
		}
		value = rawCommand{ID: command.ID, Digest: command.Digest, Text: command.Text, Op: inner}
	}
	body, err := cborcodec.Encode.Marshal(value)
	if err != nil {
		return rawOp{}, kind.Errorf(kind.Internal, "encode operation of code %d: %w", op.code(), err)
	}
	return rawOp{Code: op.code(), Body: body}, nil
}

// Decode decodes a log entry and returns its time and operations. The error is of
// kind corrupt.
func Decode(data []byte) (nowMs int64, ops []Op, err error) {
	var e entry
	if err := cborcodec.Decode.Unmarshal(data, &e); err != nil {
		return 0, nil, kind.Errorf(kind.Corrupt, "decode log entry: %w", err)
	}
	if len(e.Ops) > maxOpsPerEntry {
		return 0, nil, kind.Errorf(kind.Corrupt, "log entry of %d operations exceeds %d", len(e.Ops), maxOpsPerEntry)
	}
	for _, raw := range e.Ops {
		op, err := decodeOp(raw)
		if err != nil {
			return 0, nil, err
		}
		ops = append(ops, op)
	}
	return e.NowMs, ops, nil
}

var decoders = map[opCode]func(cbor.RawMessage) (Op, error){
	codeRegister:      decodeAs[Register],
	codeLeaseExpired:  decodeAs[LeaseExpired],
	codeStart:         decodeAs[Start],
	codeCheckpoint:    decodeAs[Checkpoint],
	codeThrottle:      decodeAs[Throttle],
	codeStop:          decodeAs[Stop],
	codeReport:        decodeAs[Report],
	codeDeclare:       decodeAs[Declare],
	codeCancel:        decodeAs[Cancel],
	codeDrain:         decodeAs[Drain],
	codeSetConfig:     decodeAs[SetConfig],
	codeClaim:         decodeAs[Claim],
	codeResolve:       decodeAs[Resolve],
	codePark:          decodeAs[Park],
	codeUnpark:        decodeAs[Unpark],
	codeQuarantine:    decodeAs[Quarantine],
	codeEndQuarantine: decodeAs[EndQuarantine],
	codeReplace:       decodeAs[Replace],
	codeEvacuate:      decodeAs[Evacuate],
}

func decodeAs[T Op](body cbor.RawMessage) (Op, error) {
	var op T
	if err := cborcodec.Decode.Unmarshal(body, &op); err != nil {
		return nil, kind.Errorf(kind.Corrupt, "decode operation of code %d: %w", op.code(), err)
	}
	return op, nil
}

func decodeOp(raw rawOp) (Op, error) {
	if raw.Code == codeCommand {
		return decodeCommand(raw.Body)
	}
	decode, ok := decoders[raw.Code]
	if !ok {
		return nil, kind.Errorf(kind.Corrupt, "operation code %d is unknown to this version of the program", raw.Code)
	}
	return decode(raw.Body)
}

func decodeCommand(body cbor.RawMessage) (Op, error) {
	var raw rawCommand
	if err := cborcodec.Decode.Unmarshal(body, &raw); err != nil {
		return nil, kind.Errorf(kind.Corrupt, "decode command: %w", err)
	}
	if raw.Op.Code == codeCommand {
		return nil, kind.Errorf(kind.Corrupt, "command %q holds another command", raw.ID)
	}
	op, err := decodeOp(raw.Op)
	if err != nil {
		return nil, err
	}
	return Command{ID: raw.ID, Digest: raw.Digest, Text: raw.Text, Op: op}, nil
}
