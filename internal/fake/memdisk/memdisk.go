// Package memdisk is an in-memory file system for tests of crash recovery.
//
// Written data is durable once the file is synced, and changes of a folder are
// durable once the folder is synced. Crash discards all or part of the rest, as a
// seeded random source decides. CrashAfter chooses the operation that crashes.
package memdisk

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"mangohill.example/mangohill/storage"
)

// ErrCrashed is returned by the operation that crashes and by all changing
// operations after it, until Crash is called.
var ErrCrashed = errors.New("the host has crashed")

// sectorSize is the unit, in bytes, in which unsynced data is lost.
const sectorSize = 512

// Disk implements storage.FileSystem. It is not safe for concurrent use.
type Disk struct {
	random  *rand.Rand
	current map[string]*inode
	durable map[string]*inode
	changes []folderChange
	// remaining is the number of operations until the crash, negative if none is
	// planned.
	remaining int
	crashed   bool
	// ignoreSync makes syncs do nothing, to simulate a program that omits them.
	ignoreSync bool
	operations int
	// refused is the number of operations until the disk is full, refusals the number of
	// operations that it then refuses; both are negative for none.
	refused, refusals int
}

// inode holds the written and the durable content of a file.
type inode struct {
	current []byte
	durable []byte
	// lostFrom and lostTo bound the bytes whose sync failed. Later syncs succeed without
	// making them durable, as those of an operating system do.
	lostFrom, lostTo int
}

// folderChange is a creation, rename or removal that may not be synced yet.
type folderChange func(names map[string]*inode)

// New returns an empty disk.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, current: map[string]*inode{}, durable: map[string]*inode{}, remaining: -1, refused: -1}
}

// IgnoreSync makes every later sync do nothing.
func (d *Disk) IgnoreSync() { d.ignoreSync = true }

// HonorSync ends the effect of IgnoreSync for later syncs.
func (d *Disk) HonorSync() { d.ignoreSync = false }

// CrashAfter makes the disk crash after count more changing operations.
func (d *Disk) CrashAfter(count int) { d.remaining = count }

// FillAfter makes the disk full after count more changing operations: it then refuses
// the next refusals operations that need space, a write partly done.
func (d *Disk) FillAfter(count, refusals int) { d.refused, d.refusals = count, refusals }

// checkSpace returns ENOSPC if the disk is full at this operation.
func (d *Disk) checkSpace() error {
	if d.refused > 0 {
		d.refused--
		return nil
	}
	if d.refused < 0 || d.refusals == 0 {
		return nil
	}
	d.refusals--
	return unix.ENOSPC
}

// Operations returns the number of changing operations so far, syncs included.
func (d *Disk) Operations() int { return d.operations }

// Crash discards all or part of the unsynced data and changes, and makes the disk
// usable again.
func (d *Disk) Crash() {
	for _, c := range d.changes[:d.random.IntN(len(d.changes)+1)] {
		c(d.durable)
	}
	d.changes = nil
	d.current = make(map[string]*inode)
	for _, name := range sortedNames(d.durable) {
		file := d.durable[name]
		survived := d.contentAfterCrash(file)
		file.current, file.durable = survived, slices.Clone(survived)
		d.current[name] = file
	}
	d.crashed = false
	d.remaining = -1
}

// contentAfterCrash returns the content of a file after a crash: of the bytes
// appended since the last sync a random prefix remains, with some sectors zeroed. An
// unsynced truncation is kept or lost as a whole.
func (d *Disk) contentAfterCrash(file *inode) []byte {
	if !bytes.HasPrefix(file.current, file.durable) {
		if file.lostFrom < file.lostTo || d.random.IntN(2) == 0 {
			return file.durable
		}
		return file.current
	}
	syncedLength := len(file.durable)
	length := syncedLength + d.random.IntN(len(file.current)-syncedLength+1)
	kept := slices.Clone(file.current[:length])
	for start := syncedLength; start < length; {
		next := min(length, (start/sectorSize+1)*sectorSize)
		if d.random.IntN(4) == 0 {
			clear(kept[start:next])
		}
		start = next
	}
	return kept
}

// FlipBit inverts the lowest bit of the byte at offset, durably.
func (d *Disk) FlipBit(path string, offset int) {
	file := d.current[filepath.Clean(path)]
	file.current[offset] ^= 1
	file.durable = slices.Clone(file.current)
}

// Size returns the length of a file in bytes.
func (d *Disk) Size(path string) int { return len(d.current[filepath.Clean(path)].current) }

// Names returns the paths of all files in order.
func (d *Disk) Names() []string { return sortedNames(d.current) }

func sortedNames(files map[string]*inode) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// countOperation counts a changing operation. It returns ErrCrashed if the disk
// crashes at this operation or has crashed before.
func (d *Disk) countOperation() error {
	if d.crashed {
		return ErrCrashed
	}
	d.operations++
	if d.remaining == 0 {
		d.crashed = true
		return ErrCrashed
	}
	if d.remaining > 0 {
		d.remaining--
	}
	return nil
}

func (d *Disk) changeFolder(c folderChange) {
	c(d.current)
	d.changes = append(d.changes, c)
}

// MakeFolder implements storage.FileSystem.
func (d *Disk) MakeFolder(string) error { return nil }

// List implements storage.FileSystem.
func (d *Disk) List(path string) ([]string, error) {
	var names []string
	for _, name := range sortedNames(d.current) {
		if rest, ok := strings.CutPrefix(name, filepath.Clean(path)+"/"); ok {
			names = append(names, rest)
		}
	}
	return names, nil
}

// Open implements storage.FileSystem.
func (d *Disk) Open(path string) (storage.File, error) {
	file, ok := d.current[filepath.Clean(path)]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &handle{disk: d, inode: file, reader: bytes.NewReader(file.current)}, nil
}

// Create implements storage.FileSystem.
func (d *Disk) Create(path string) (storage.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	if err := d.checkSpace(); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	path = filepath.Clean(path)
	file := &inode{}
	d.changeFolder(func(names map[string]*inode) { names[path] = file })
	return &handle{disk: d, inode: file}, nil
}

// Append implements storage.FileSystem.
func (d *Disk) Append(path string) (storage.File, error) {
	file, ok := d.current[filepath.Clean(path)]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &handle{disk: d, inode: file}, nil
}

// Truncate implements storage.FileSystem.
func (d *Disk) Truncate(path string, size int64) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	file := d.current[filepath.Clean(path)]
	file.current = slices.Clone(file.current[:size])
	file.lostTo = min(file.lostTo, int(size))
	return nil
}

// Rename implements storage.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if err := d.checkSpace(); err != nil {
		return err
	}
	from, to = filepath.Clean(from), filepath.Clean(to)
	file := d.current[from]
	d.changeFolder(func(names map[string]*inode) { delete(names, from); names[to] = file })
	return nil
}

// Remove implements storage.FileSystem.
func (d *Disk) Remove(path string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	path = filepath.Clean(path)
	d.changeFolder(func(names map[string]*inode) { delete(names, path) })
	return nil
}

// SyncFolder implements storage.FileSystem.
func (d *Disk) SyncFolder(string) error {
	if err := d.countOperation(); err != nil || d.ignoreSync {
		return err
	}
	if err := d.checkSpace(); err != nil {
		return err
	}
	for _, c := range d.changes {
		c(d.durable)
	}
	d.changes = nil
	return nil
}

// Lock implements storage.FileSystem.
func (d *Disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// handle is an open file.
type handle struct {
	disk   *Disk
	inode  *inode
	reader *bytes.Reader
}

func (h *handle) Read(p []byte) (int, error) { return h.reader.Read(p) }

func (h *handle) Write(p []byte) (int, error) {
	err := h.disk.countOperation()
	if err != nil && h.disk.remaining == 0 {
		// The write during which the host crashes is partly done.
		h.disk.remaining = -1
		part := h.disk.random.IntN(len(p) + 1)
		h.inode.current = append(h.inode.current, p[:part]...)
		return part, err
	}
	if err != nil {
		return 0, err
	}
	if err := h.disk.checkSpace(); err != nil {
		part := h.disk.random.IntN(len(p) + 1)
		h.inode.current = append(h.inode.current, p[:part]...)
		return part, err
	}
	h.inode.current = append(h.inode.current, p...)
	return len(p), nil
}

func (h *handle) Sync() error {
	if err := h.disk.countOperation(); err != nil || h.disk.ignoreSync {
		return err
	}
	if err := h.disk.checkSpace(); err != nil {
		h.inode.lostFrom, h.inode.lostTo = len(h.inode.durable), len(h.inode.current)
		return err
	}
	h.inode.durable = slices.Clone(h.inode.current)
	if h.inode.lostFrom < h.inode.lostTo {
		clear(h.inode.durable[h.inode.lostFrom:h.inode.lostTo])
	}
	return nil
}

func (h *handle) Close() error { return nil }
