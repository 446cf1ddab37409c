// Package memdisk is a file system in memory for tests of what survives a crash.
//
// Written data lasts once the file is synced, and changes of a folder last once
// the folder is synced. Crash undoes the rest, wholly or in part, as a seeded
// random source decides. CrashAfter makes any later operation the last one.
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

	"mangohill.example/mangohill/storage"
)

// ErrCrashed is returned by every operation after a crash, until Crash.
var ErrCrashed = errors.New("the host has crashed")

const sectorSize = 512

// Disk implements storage.FileSystem. It is not safe for concurrent use.
type Disk struct {
	random  *rand.Rand
	current map[string]*inode
	durable map[string]*inode
	changes []change
	// remaining is the number of operations before a crash, negative for none.
	remaining int
	crashed   bool
	// ignoreSync makes syncs do nothing, as if the program had left them out.
	ignoreSync bool
	operations int
}

// inode is the content of a file: what was written and what is durable.
type inode struct {
	current []byte
	durable []byte
}

// change is one change of a folder, not yet synced.
type change func(names map[string]*inode)

// New returns an empty disk.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, current: map[string]*inode{}, durable: map[string]*inode{}, remaining: -1}
}

// IgnoreSync makes every later sync do nothing.
func (d *Disk) IgnoreSync() { d.ignoreSync = true }

// CrashAfter makes the disk fail after count more changing operations.
func (d *Disk) CrashAfter(count int) { d.remaining = count }

// Operations returns the number of changing operations so far.
func (d *Disk) Operations() int { return d.operations }

// Crash loses what was not synced, wholly or in part, and makes the disk usable
// again.
func (d *Disk) Crash() {
	for _, c := range d.changes[:d.random.IntN(len(d.changes)+1)] {
		c(d.durable)
	}
	d.changes = nil
	d.current = make(map[string]*inode)
	for _, name := range sortedNames(d.durable) {
		file := d.durable[name]
		survived := d.survive(file)
		file.current, file.durable = survived, slices.Clone(survived)
		d.current[name] = file
	}
	d.crashed = false
	d.remaining = -1
}

// survive returns what a crash leaves of a file.
func (d *Disk) survive(file *inode) []byte {
	if !bytes.HasPrefix(file.current, file.durable) {
		if d.random.IntN(2) == 0 {
			return file.durable
		}
		return file.current
	}
	written := len(file.durable)
	length := written + d.random.IntN(len(file.current)-written+1)
	left := slices.Clone(file.current[:length])
	for start := written; start < length; {
		next := min(length, (start/sectorSize+1)*sectorSize)
		if d.random.IntN(4) == 0 {
			clear(left[start:next])
		}
		start = next
	}
	return left
}

// FlipBit inverts one bit of a file, durably.
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

// step counts a changing operation and fails after the crash.
func (d *Disk) step() error {
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

func (d *Disk) change(c change) {
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
	if err := d.step(); err != nil {
		return nil, err
	}
	path = filepath.Clean(path)
	file := &inode{}
	d.change(func(names map[string]*inode) { names[path] = file })
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
	if err := d.step(); err != nil {
		return err
	}
	file := d.current[filepath.Clean(path)]
	file.current = slices.Clone(file.current[:size])
	return nil
}

// Rename implements storage.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	from, to = filepath.Clean(from), filepath.Clean(to)
	file := d.current[from]
	d.change(func(names map[string]*inode) { delete(names, from); names[to] = file })
	return nil
}

// Remove implements storage.FileSystem.
func (d *Disk) Remove(path string) error {
	if err := d.step(); err != nil {
		return err
	}
	path = filepath.Clean(path)
	d.change(func(names map[string]*inode) { delete(names, path) })
	return nil
}

// SyncFolder implements storage.FileSystem.
func (d *Disk) SyncFolder(string) error {
	if err := d.step(); err != nil || d.ignoreSync {
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
	err := h.disk.step()
	if err != nil && h.disk.remaining == 0 {
		// The operation at which the host crashes is done in part.
		h.disk.remaining = -1
		part := h.disk.random.IntN(len(p) + 1)
		h.inode.current = append(h.inode.current, p[:part]...)
		return part, err
	}
	if err != nil {
		return 0, err
	}
	h.inode.current = append(h.inode.current, p...)
	return len(p), nil
}

func (h *handle) Sync() error {
	if err := h.disk.step(); err != nil || h.disk.ignoreSync {
		return err
	}
	h.inode.durable = h.inode.current
	return nil
}

func (h *handle) Close() error { return nil }
