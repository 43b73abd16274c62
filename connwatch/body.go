package connwatch

import "io"

// Body is the streamed body of an answer. When it is closed, the caller's connection is no longer
// watched.
type Body struct {
	io.ReadCloser
	// Release ends the watch that Context began.
	Release func()
}

// Close implements io.Closer.
func (b *Body) Close() error {
	err := b.ReadCloser.Close()
	b.Release()
	return err
}
