package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"mangohill.example/mangohill/kind"
)

// FileSystem holds the file system operations that the store uses. Written data and
// changes of a folder survive a crash only after they are synced.
type FileSystem interface {
	// MakeFolder creates the folder and its missing parents.
	MakeFolder(path string) error
	// List returns the names in the folder in lexical order, none if it is missing.
	List(path string) ([]string, error)
	// Open opens a file for reading.
	Open(path string) (File, error)
	// Create opens a file for writing and truncates an existing one.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	// Truncate cuts a file to size bytes.
	Truncate(path string, size int64) error
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names in the folder durable.
	SyncFolder(path string) error
	// Lock acquires the exclusive lock of a file and fails if another process holds
	// it. Closing the result releases the lock.
	Lock(path string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReadWriteCloser
	// Sync makes the written data durable.
	Sync() error
}

// OSFileSystem implements FileSystem with the operating system's files.
type OSFileSystem struct{}

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

const (
	// openAttempts is how often a file is opened while the process has no descriptor left,
	// with pauses that begin at openRetryDelay and double: 1.3 s together.
	openAttempts   = 8
	openRetryDelay = 10 * time.Millisecond
)

// withDescriptor opens a file, again after a pause while the process or the system has no
// descriptor left: an open that failed so has had no effect, and connections that are closed
// meanwhile free one.
func withDescriptor[T any](open func() (T, error)) (T, error) {
	delay := openRetryDelay
	for range openAttempts - 1 {
		opened, err := open()
		if !errors.Is(err, unix.EMFILE) && !errors.Is(err, unix.ENFILE) {
			return opened, err
		}
		time.Sleep(delay)
		delay *= 2
	}
	return open()
}

// MakeFolder implements FileSystem.
func (OSFileSystem) MakeFolder(path string) error { return os.MkdirAll(path, folderPermissions) }

// List implements FileSystem.
func (OSFileSystem) List(path string) ([]string, error) {
	entries, err := withDescriptor(func() ([]os.DirEntry, error) { return os.ReadDir(path) })
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// Open implements FileSystem.
func (OSFileSystem) Open(path string) (File, error) {
	return withDescriptor(func() (File, error) { return os.Open(path) })
}

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	return withDescriptor(func() (File, error) {
		return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
	})
}

// Append implements FileSystem.
func (OSFileSystem) Append(path string) (File, error) {
	return withDescriptor(func() (File, error) {
		return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, filePermissions)
	})
}

// Truncate implements FileSystem.
func (OSFileSystem) Truncate(path string, size int64) error { return os.Truncate(path, size) }

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncFolder implements FileSystem.
func (OSFileSystem) SyncFolder(path string) error {
	folder, err := withDescriptor(func() (*os.File, error) { return os.Open(filepath.Clean(path)) })
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Lock implements FileSystem.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(kind.Errorf(kind.Storage, "file %q is locked by another process: %w", path, err), file.Close())
	}
	return file, nil
}

// writeFileAtomically writes and syncs a temporary file, renames it to name and syncs
// the folder, so that the file exists completely or not at all.
func writeFileAtomically(fs FileSystem, folder, name string, write func(io.Writer) error) error {
	temporaryPath := filepath.Join(folder, name+temporarySuffix)
	file, err := fs.Create(temporaryPath)
	if err != nil {
		return err
	}
	if err := errors.Join(write(file), file.Sync(), file.Close()); err != nil {
		return errors.Join(err, fs.Remove(temporaryPath)) // On a full disk its space is needed.
	}
	return renameAndSync(fs, folder, temporaryPath, name)
}

// renameAndSync renames a synced temporary file to name and syncs the folder.
func renameAndSync(fs FileSystem, folder, temporaryPath, name string) error {
	if err := fs.Rename(temporaryPath, filepath.Join(folder, name)); err != nil {
		return err
	}
	return fs.SyncFolder(folder)
}

const temporarySuffix = ".tmp"
