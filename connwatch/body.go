package connwatch

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"
)

// SetBody sets the body of an answer without a copy. release is called once the body was written or the connection has
// ended.
func SetBody(ctx *fasthttp.RequestCtx, body []byte, release func()) {
	if len(body) == 0 {
		release()
		return
	}
	ctx.SetBodyStream(&wholeBody{Reader: bytes.NewReader(body), release: release}, len(body))
}

// wholeBody is a body that is written in one piece: bytes.Reader implements io.WriterTo.
type wholeBody struct {
	*bytes.Reader
	release func()
}

// Close implements io.Closer.
func (b *wholeBody) Close() error {
	b.Reader.Reset(nil)
	b.release()
	return nil
}

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
