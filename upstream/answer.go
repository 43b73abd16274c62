package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Answer is an answer whose header has been read.
type Answer struct {
	*http.Response
	conn    *Conn
	stop    func() bool
	written <-chan error
	heard   func()
	// whole is set once the body was read to its end.
	whole bool
	done  bool
}

// maxStray bounds the body of an answer that belongs to another request.
const maxStray = 1 << 20

// skip reads over an answer that belongs to another request. After one whose
// end the connection marks, nothing else can follow.
func skip(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("an answer to another request has no end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStray))
	if err == nil && n == maxStray {
		return errors.New("an answer to another request is too long")
	}
	return err
}

// Read reads the body. It returns io.EOF only after a whole body, and ErrBroken
// after one that ended early.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if n > 0 && a.heard != nil {
		a.heard()
	}
	switch {
	case err == io.EOF:
		a.whole = true
		return n, io.EOF
	case err != nil:
		return n, errors.WithMessage(ErrBroken, err.Error())
	}
	return n, nil
}

// ReadAll reads a whole body of at most limit bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.WithMessage(ErrBroken, "the body is too long")
	}
	return body, nil
}

// Close ends the request: after a whole answer the connection is kept if both
// sides allow it, else it is closed.
func (a *Answer) Close() error {
	if conn := a.Next(); conn != nil {
		conn.release()
	}
	return nil
}

// Next ends the request as Close does, but returns the connection for another one
// of the same caller: what is sent there reaches the run of the server that gave
// this answer, or nobody. It is nil if the connection was closed.
func (a *Answer) Next() *Conn {
	if a.done {
		return nil
	}
	a.done = true
	running := a.stop()
	if running && a.whole && !a.Response.Close && a.sent() && a.framed() {
		a.keep()
		return a.conn
	}
	a.conn.Discard()
	return nil
}

// sent says whether the whole request was written.
func (a *Answer) sent() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// framed says whether the answer had an end of its own.
func (a *Answer) framed() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

func (a *Answer) keep() {
	if announced, ok := keepAlive(a.Header); ok {
		a.conn.idleFor = max(announced-a.conn.pool.config.IdleMargin, 0)
	}
	a.conn.raw.SetDeadline(time.Time{})
}
