package storage

import (
	"errors"
	"io"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// spareBytes is the free space that Reload requires: enough for the largest command, so
// that a member does not participate only to fail at its next write.
const spareBytes = 1 << 20

const spareFileName = "spare" + temporarySuffix

// IsFull reports whether err is a lack of space on the disk or within a quota.
func IsFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// Reload reads the folder again after a write failed for lack of space. It first removes
// whatever that write left behind, and verifies that there is space again. The result is
// what is durable, as after a restart; what the failed write was to store is not part of
// it unless it was synced. While the disk is full, the error satisfies IsFull and the
// call can be repeated. After any other error the store is unusable.
func (s *Store) Reload() (LoadedState, error) {
	if s.writeErr != nil && !IsFull(s.writeErr) {
		return LoadedState{}, s.writeErr
	}
	s.temporaryFiles.Lock()
	defer s.temporaryFiles.Unlock()
	s.writeErr = nil
	loaded, err := s.reload()
	if err != nil {
		return LoadedState{}, s.fail(err, "reload")
	}
	return loaded, nil
}

func (s *Store) reload() (LoadedState, error) {
	if err := s.discardUnsynced(); err != nil {
		return LoadedState{}, err
	}
	if s.current != nil {
		_ = s.current.Close() // All its remaining data is synced.
	}
	s.current, s.segments, s.nextIndex, s.segmentSize, s.syncedSize = nil, nil, 0, 0, 0
	s.hardState = LoadedState{}.Restored.HardState
	loaded, err := s.open()
	if err != nil {
		return LoadedState{}, err
	}
	return loaded, s.checkSpace()
}

// discardUnsynced removes the data that was written and not synced. It can't be kept by
// syncing it again: after a failed sync, the operating system may report success for data
// that the disk does not hold.
func (s *Store) discardUnsynced() error {
	if s.syncedSize == 0 {
		return nil // This store has written nothing that load does not remove.
	}
	last := s.segments[len(s.segments)-1]
	names, err := s.fs.List(s.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		// The header of a later segment was not synced.
		if !isSegmentName(name) || name <= filepath.Base(last.path) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return err
		}
	}
	if err := s.truncateSegment(last, s.syncedSize); err != nil {
		return err
	}
	return s.fs.SyncFolder(s.folder)
}

// rewriteLastSegment replaces the last segment by a synced copy if a sync of it may have
// failed since an earlier process wrote it. How much of it was synced is not known, so that
// neither truncating it nor syncing it again would do.
func (s *Store) rewriteLastSegment() error {
	if !s.rewriteLast {
		return nil
	}
	path := s.segments[len(s.segments)-1].path
	data, err := readFile(s.fs, path)
	if err != nil {
		return err
	}
	err = writeFileAtomically(s.fs, s.folder, filepath.Base(path), func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
	s.rewriteLast = err != nil
	return err
}

// checkSpace writes and removes a file of spareBytes.
func (s *Store) checkSpace() error {
	path := filepath.Join(s.folder, spareFileName)
	file, err := s.fs.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, spareBytes))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close(), s.fs.Remove(path))
}
