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
//	8  checksum uint32, of the payload (CRC-32C)
//	12 checksum uint32, of the preceding 12 bytes and the record's offset in the file
//
// The header checksum covers the offset so that a record copied to another offset is
// detected.
const (
	recordMagic      = 0x4d48
	recordHeaderSize = 16      // bytes
	maxRecordBytes   = 1 << 30 // of the payload
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
	errRecordIncomplete = errors.New("the record is incomplete")
	errHeaderChecksum   = errors.New("the record header is invalid or does not match its checksum")
	errPayloadChecksum  = errors.New("the record payload does not match its checksum")
	errRecordKind       = errors.New("the record is of an unexpected kind")
	castagnoli          = crc32.MakeTable(crc32.Castagnoli)
	littleEndianOrder   = binary.LittleEndian
)

// headerChecksum returns the checksum of the header fields and the record's offset.
func headerChecksum(header []byte, offset int64) uint32 {
	offsetBytes := littleEndianOrder.AppendUint64(nil, uint64(offset))
	return crc32.Update(crc32.Checksum(header[:12], castagnoli), castagnoli, offsetBytes)
}

// encodeRecord encodes a record for writing at offset of its file.
func encodeRecord(k recordKind, offset int64, payload []byte) []byte {
	out := make([]byte, recordHeaderSize, recordHeaderSize+len(payload))
	littleEndianOrder.PutUint16(out[0:], recordMagic)
	out[2] = byte(k)
	littleEndianOrder.PutUint32(out[4:], uint32(len(payload)))
	littleEndianOrder.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	littleEndianOrder.PutUint32(out[12:], headerChecksum(out, offset))
	return append(out, payload...)
}

// decodeRecord decodes the record at the start of data. The offset is the position
// of data in its file.
func decodeRecord(data []byte, offset int64) (record, error) {
	if len(data) < recordHeaderSize {
		return record{}, errRecordIncomplete
	}
	if littleEndianOrder.Uint16(data) != recordMagic || littleEndianOrder.Uint32(data[12:]) != headerChecksum(data, offset) {
		return record{}, errHeaderChecksum
	}
	length := littleEndianOrder.Uint32(data[4:])
	if length > maxRecordBytes {
		return record{}, errHeaderChecksum
	}
	if uint64(len(data)) < recordHeaderSize+uint64(length) {
		return record{}, errRecordIncomplete
	}
	payload := data[recordHeaderSize : recordHeaderSize+length]
	if littleEndianOrder.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return record{}, errPayloadChecksum
	}
	return record{kind: recordKind(data[2]), payload: payload}, nil
}

// sectorSize is the smallest unit that a disk writes, in bytes.
const sectorSize = 512

// isTorn reports whether the undecodable bytes of data from offset on may result
// from a single write that a crash interrupted: the file ends within the record or a
// sector was never written, and no record follows.
func isTorn(data []byte, offset int64, cause error) bool {
	rest := data[offset:]
	end := int64(len(data))
	if errors.Is(cause, errPayloadChecksum) {
		end = offset + recordHeaderSize + int64(littleEndianOrder.Uint32(rest[4:]))
	}
	if !errors.Is(cause, errRecordIncomplete) && !hasZeroSector(data, offset, end) {
		return false
	}
	return !hasRecordAfter(data, offset+1)
}

// hasZeroSector reports whether any sector is all zero in its part between offset
// and end.
func hasZeroSector(data []byte, offset, end int64) bool {
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

// hasRecordAfter reports whether a valid record header begins at offset or later.
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
