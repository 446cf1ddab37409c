package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record is a header and a payload. The header is, in little endian:
//
//	0  magic    uint16
//	2  kind     uint8
//	3  reserved uint8
//	4  length   uint32, of the payload
//	8  checksum uint32, of the payload
//	12 checksum uint32, of the twelve bytes before and the record's offset
//
// The offset in the checksum keeps a copied record from passing elsewhere.
const (
	recordMagic      = 0x4d48
	recordHeaderSize = 16
	maxRecordBytes   = 1 << 30
)

type recordKind uint8

const (
	identityRecord recordKind = iota + 1
	segmentRecord
	batchRecord
	snapshotRecord
)

type record struct {
	kind    recordKind
	payload []byte
}

func (r record) size() int64 { return recordHeaderSize + int64(len(r.payload)) }

var (
	errRecordShort    = errors.New("the record is incomplete")
	errRecordHeader   = errors.New("the record header does not match its checksum")
	errRecordPayload  = errors.New("the record does not match its checksum")
	errRecordKind     = errors.New("the record is of the wrong kind")
	castagnoli        = crc32.MakeTable(crc32.Castagnoli)
	littleEndianOrder = binary.LittleEndian
)

// headerChecksum covers the header fields and the place of the record.
func headerChecksum(header []byte, offset int64) uint32 {
	place := littleEndianOrder.AppendUint64(nil, uint64(offset))
	return crc32.Update(crc32.Checksum(header[:12], castagnoli), castagnoli, place)
}

// encodeRecord returns the record to be written at offset.
func encodeRecord(k recordKind, offset int64, payload []byte) []byte {
	out := make([]byte, recordHeaderSize, recordHeaderSize+len(payload))
	littleEndianOrder.PutUint16(out[0:], recordMagic)
	out[2] = byte(k)
	littleEndianOrder.PutUint32(out[4:], uint32(len(payload)))
	littleEndianOrder.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	littleEndianOrder.PutUint32(out[12:], headerChecksum(out, offset))
	return append(out, payload...)
}

// decodeRecord reads the record at the start of data, which lies at offset.
func decodeRecord(data []byte, offset int64) (record, error) {
	if len(data) < recordHeaderSize {
		return record{}, errRecordShort
	}
	if littleEndianOrder.Uint16(data) != recordMagic || littleEndianOrder.Uint32(data[12:]) != headerChecksum(data, offset) {
		return record{}, errRecordHeader
	}
	length := littleEndianOrder.Uint32(data[4:])
	if length > maxRecordBytes {
		return record{}, errRecordHeader
	}
	if uint64(len(data)) < recordHeaderSize+uint64(length) {
		return record{}, errRecordShort
	}
	payload := data[recordHeaderSize : recordHeaderSize+length]
	if littleEndianOrder.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return record{}, errRecordPayload
	}
	return record{kind: recordKind(data[2]), payload: payload}, nil
}

// sectorSize is the unit in bytes in which a disk writes.
const sectorSize = 512

// isTorn reports whether the bytes of data from offset on, which do not decode,
// can be the rest of one write that a crash interrupted: the file ends within
// the record or a sector was never written, and no record follows.
func isTorn(data []byte, offset int64, cause error) bool {
	rest := data[offset:]
	end := int64(len(data))
	if errors.Is(cause, errRecordPayload) {
		end = offset + recordHeaderSize + int64(littleEndianOrder.Uint32(rest[4:]))
	}
	if !errors.Is(cause, errRecordShort) && !hasBlankSector(data, offset, end) {
		return false
	}
	return !hasRecordAfter(data, offset+1)
}

// hasBlankSector reports whether the part of some sector that lies between
// offset and end is all zero.
func hasBlankSector(data []byte, offset, end int64) bool {
	for start := offset; start < end; {
		next := min(end, (start/sectorSize+1)*sectorSize)
		if isZero(data[start:next]) {
			return true
		}
		start = next
	}
	return false
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// hasRecordAfter reports whether a record header stands anywhere from offset on.
func hasRecordAfter(data []byte, offset int64) bool {
	for ; offset+recordHeaderSize <= int64(len(data)); offset++ {
		candidate := data[offset:]
		if littleEndianOrder.Uint16(candidate) != recordMagic {
			continue
		}
		if littleEndianOrder.Uint32(candidate[12:]) == headerChecksum(candidate, offset) {
			return true
		}
	}
	return false
}
