package forward

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"
)

// chunkReader returns at most size bytes per read.
type chunkReader struct {
	rest []byte
	size int
}

func (p *chunkReader) Read(to []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(to, p.rest[:min(p.size, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

func (p *chunkReader) Close() error { return nil }

// FuzzStream checks that a stream that ends with io.EOF arrives byte for byte, whatever
// its events contain and wherever reads split them.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"), uint8(3))
	f.Add([]byte("id:\n\n\n\nid: 7"), uint8(1))
	f.Fuzz(func(t *testing.T, whole []byte, size uint8) {
		b := newBench(t)
		b.engines.prefillTime = time.Microsecond
		b.engines.stream = func(context.Context, string, string) io.ReadCloser {
			return &chunkReader{rest: bytes.Clone(whole), size: int(size) + 1}
		}
		reply := b.Serve(context.Background(), b.generation("a", testPromptTokens))
		if reply.Stream == nil {
			t.Fatalf("status %d", reply.Status)
		}
		got, err := io.ReadAll(reply.Stream)
		reply.Stream.Close()
		b.Wait()
		if err != nil || !bytes.Equal(got, whole) {
			t.Fatalf("%q arrives as %q, %v", whole, got, err)
		}
		b.checkNothingHeld()
	})
}
