package front

import (
	"io"

	"github.com/cockroachdb/errors"
)

var errBodyTooLarge = errors.New("the body is larger than any allowed")

// memory is where a buffer's bytes are reserved.
type memory interface {
	reserve(bytes int64) error
	release(bytes int64)
}

// buffer receives a body. All memory that it takes is reserved, but for sizes up to free.
type buffer struct {
	memory     memory
	firstChunk int64
	free       int64

	raw      []byte
	reserved int64
}

// releaseAll gives back what is reserved.
func (b *buffer) releaseAll() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

func (b *buffer) reserve(size int64) error {
	if size <= b.free {
		return nil
	}
	if err := b.memory.reserve(size); err != nil {
		return err
	}
	b.reserved += size
	return nil
}

// readExactly reserves the whole size before it reads.
func (b *buffer) readExactly(r io.Reader, size int64) error {
	if err := b.reserve(size); err != nil {
		return err
	}
	b.raw = make([]byte, size)
	_, err := io.ReadFull(r, b.raw)
	return err
}

// readToEnd reserves memory as the body comes.
func (b *buffer) readToEnd(r io.Reader, limit int64) error {
	for {
		if len(b.raw) == cap(b.raw) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := r.Read(b.raw[len(b.raw):cap(b.raw)])
		b.raw = b.raw[:len(b.raw)+n]
		switch {
		case int64(len(b.raw)) > limit:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the memory for the body, up to a chunk more than the limit. The old and the new memory
// are reserved while both are held.
func (b *buffer) grow(limit int64) error {
	before := b.reserved
	size := min(max(b.firstChunk, 2*int64(cap(b.raw))), limit+b.firstChunk)
	if err := b.reserve(size); err != nil {
		return err
	}
	grown := make([]byte, len(b.raw), size)
	copy(grown, b.raw)
	b.raw = grown
	b.memory.release(before)
	b.reserved -= before
	return nil
}
