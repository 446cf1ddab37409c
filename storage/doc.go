// Package storage keeps the durable state of one replica in one folder: its
// identity, the log of the consensus core in segments, and snapshots.
//
// Each append is one record, written and synced before the call returns, so that
// only the last record of the last segment can be torn by a crash. Open cuts a
// torn record off. Any other damage is an error of kind corrupt that names the
// file and the offset, and the replica must not run.
//
// Snapshots are written aside, synced, renamed, and their folder is synced.
package storage
