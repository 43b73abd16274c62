package membudget

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

var (
	// ErrFull is the error of bytes that do not fit into the budget now.
	ErrFull = errors.New("the budget of memory has no room")
	// ErrTooLarge is the error of bytes of which there are more than allowed.
	ErrTooLarge = errors.New("more bytes than allowed")
)

// freeBytes is the size in bytes up to which a buffer takes nothing from the budget. It is covered by what each
// request takes.
const freeBytes = 4 << 10

// Take takes bytes from a budget for a buffer.
type Take func(bytes int64) error

// Buffer holds bytes that were read, once, and accounts them until it is released.
type Buffer struct {
	// Bytes is what was read.
	Bytes  []byte
	budget *Budget
	held   int64
	// atOnce makes a buffer that becomes large take all that it may need at once.
	atOnce bool
}

// Refusing returns a Take that fails if the bytes do not fit.
func (b *Budget) Refusing() Take {
	return func(bytes int64) error {
		kind := Request
		if bytes >= LargeBytes {
			kind = Large
		}
		if !b.Reserve(kind, bytes) {
			return ErrFull
		}
		return nil
	}
}

// ReadAnswer reads the body of an answer of at most limit bytes, as soon as it fits. length is negative if it is not
// known. Such a body takes what it may need at once when it becomes large, because buffers that wait while they hold a
// part could wait for each other.
func (b *Budget) ReadAnswer(ctx context.Context, stream io.Reader, length int64, limit int) (*Buffer, error) {
	take := func(bytes int64) error { return b.Await(ctx, Answer, bytes) }
	switch {
	case length > int64(limit):
		return nil, ErrTooLarge
	case length >= 0:
		return b.Read(stream, int(length), take)
	}
	return b.readUpTo(stream, limit, take, true)
}

// Read reads a stream of a known length.
func (b *Budget) Read(stream io.Reader, length int, take Take) (*Buffer, error) {
	buffer := &Buffer{budget: b}
	if length > freeBytes {
		if err := take(int64(length)); err != nil {
			return nil, err
		}
		buffer.held = int64(length)
	}
	buffer.Bytes = make([]byte, length)
	if _, err := io.ReadFull(stream, buffer.Bytes); err != nil {
		buffer.Release()
		return nil, err
	}
	return buffer, nil
}

// ReadUpTo reads a stream of unknown length, of at most limit bytes. The memory that it takes is doubled when it is full,
// and both parts are accounted while one is copied to the other.
func (b *Budget) ReadUpTo(stream io.Reader, limit int, take Take) (*Buffer, error) {
	return b.readUpTo(stream, limit, take, false)
}

func (b *Budget) readUpTo(stream io.Reader, limit int, take Take, atOnce bool) (*Buffer, error) {
	buffer := &Buffer{budget: b, Bytes: make([]byte, 0, freeBytes), atOnce: atOnce}
	for {
		n, err := stream.Read(buffer.Bytes[len(buffer.Bytes):cap(buffer.Bytes)])
		buffer.Bytes = buffer.Bytes[:len(buffer.Bytes)+n]
		if err == nil && len(buffer.Bytes) == cap(buffer.Bytes) {
			err = buffer.grow(limit, take)
		}
		switch err {
		case nil:
		case io.EOF:
			return buffer, nil
		default:
			buffer.Release()
			return nil, err
		}
	}
}

// grow doubles a full buffer.
func (b *Buffer) grow(limit int, take Take) error {
	if len(b.Bytes) > limit {
		return ErrTooLarge
	}
	next := 2 * cap(b.Bytes)
	if next >= limit || (b.atOnce && next >= LargeBytes) {
		// One byte more than allowed shows that there are too many.
		next = limit + 1
	}
	if err := take(int64(next)); err != nil {
		return err
	}
	b.Bytes = append(make([]byte, 0, next), b.Bytes...)
	b.budget.Release(b.held)
	b.held = int64(next)
	return nil
}

// Release returns the memory of the buffer to the budget. It may be called more than once.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	held := b.held
	b.held, b.Bytes = 0, nil
	b.budget.Release(held)
}
