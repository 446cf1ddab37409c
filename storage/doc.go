// Package storage keeps the durable state of one replica in one folder: its
// identity, the log of the consensus core in segments, and snapshots.
//
// Each append writes one record and syncs it before the call returns, so that a
// crash can tear only the last record of the last segment. Open truncates a torn
// record. Any other damage is an error of kind corrupt that names the file and the
// offset, and the replica must not run.
//
// A snapshot is written to a temporary file, which is synced and renamed. Then the
// folder is synced.
package storage
