package logging

import (
	"io"
	"sync"
	"time"
)

const (
	// blockBytes is the size of a block, unless a single line is longer: a pipe takes writes of
	// this size (PIPE_BUF) whole.
	blockBytes = 4096
	// blockDelay is how long a line waits at most for others of its block.
	blockDelay = 20 * time.Millisecond
)

// blockWriter collects what is written to it, and writes it in blocks. It is safe for
// concurrent use.
type blockWriter struct {
	mu    sync.Mutex
	w     io.Writer
	block []byte
	// due is set while a write of the block is scheduled.
	due bool
	err error
}

// Write implements io.Writer. It returns the error of the latest block if that failed.
func (b *blockWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.block)+len(p) > blockBytes {
		b.writeBlock()
	}
	b.block = append(b.block, p...)
	if !b.due {
		b.due = true
		time.AfterFunc(blockDelay, b.flush)
	}
	return len(p), b.err
}

func (b *blockWriter) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.due = false
	b.writeBlock()
}

// writeBlock writes the block. The caller holds b.mu.
func (b *blockWriter) writeBlock() {
	if len(b.block) == 0 {
		return
	}
	_, b.err = b.w.Write(b.block)
	b.block = b.block[:0]
}

// Close writes the last block and closes the writer below, if it can be closed.
func (b *blockWriter) Close() error {
	b.flush()
	if closer, ok := b.w.(io.Closer); ok {
		return closer.Close()
	}
	return b.err
}
