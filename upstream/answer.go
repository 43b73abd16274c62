package upstream

import (
	"context"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Answer is an answer whose header has been read.
type Answer struct {
	*http.Response
	conn      *Conn
	stop      func() bool
	written   *writeResult
	onReceive func()
	// ctx is the context of the request.
	ctx context.Context
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	done     bool
}

const (
	// maxStrayAnswers is the number of answers to other requests that one request discards. An earlier request of the
	// connection leaves one at most, and a server that sends more has no answer to this one behind them.
	maxStrayAnswers = 8
	// maxStrayBytes is the maximum size in bytes of the bodies of all of them.
	maxStrayBytes = 1 << 20
)

// discardAnswer reads and discards the body of an answer to another request. It fails for an answer
// whose end is the end of the connection, because no other answer can follow it.
func discardAnswer(response *http.Response) error {
	if endsWithConnection(response) {
		return errors.New("answer to another request has neither length nor chunks")
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	return checkTrailer(response)
}

// Read reads the body. It returns io.EOF only after a complete body, and
// ErrBroken after a body that ended early or whose end is not known to be the end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if n > 0 && a.onReceive != nil {
		a.onReceive()
	}
	switch {
	case err == io.EOF:
		if err := a.checkEnd(); err != nil {
			return n, broken(a.ctx, err)
		}
		a.bodyRead = true
		return n, io.EOF
	case err != nil:
		return n, broken(a.ctx, err)
	}
	return n, nil
}

// checkEnd reports why the end of the body may not be the end of the answer. An answer that ends with its connection is complete only
// after an orderly close (RFC 9112, section 8). The read cannot tell: a socket reports its error once, and if the concurrent write of
// the request got the error of a reset, the read returns io.EOF as after an orderly close. A server may close orderly without reading
// the rest of the request (RFC 9112, section 9.6), so an unfinished write is no error.
func (a *Answer) checkEnd() error {
	if a.Body == http.NoBody || !a.EndsWithConnection() {
		return checkTrailer(a.Response)
	}
	if err := a.stopWrite(); err != nil && !followsOrderlyClose(err) {
		return errors.WithMessage(err, "the connection failed while the request was written, so the end of the answer is unknown")
	}
	return nil
}

// stopWrite ends the write of the request and returns its error. The server needs no more of the request.
func (a *Answer) stopWrite() error {
	// The error is that of a closed connection, on which the write has ended.
	_ = a.conn.raw.SetWriteDeadline(pastDeadline)
	<-a.written.ended
	return a.written.err
}

// followsOrderlyClose reports whether the server had closed its side orderly, given the error of the write and that the read returned
// io.EOF. Either this instance stopped the write, or a reset followed the close: Linux reports EPIPE for a reset after a FIN, and
// ECONNRESET for one without.
func followsOrderlyClose(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}

// ReadAll reads the full body of at most limit bytes.
func (a *Answer) ReadAll(limit int64) ([]byte, error) { return ReadBody(a, limit) }

// ReadBody reads the full body of an answer, of at most limit bytes. The error of a longer one is ErrBroken.
func ReadBody(answer io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.WithMessage(ErrBroken, "body is longer than the limit")
	}
	return body, nil
}

// Close ends the request. The connection is kept after a complete answer if
// both sides allow it, and closed otherwise.
func (a *Answer) Close() error {
	if conn := a.TakeConn(); conn != nil {
		conn.release()
	}
	return nil
}

// TakeConn ends the request as Close does, but returns the connection for another
// request of the same caller. A request sent on it reaches the run of the
// server's process that gave this answer, or none. TakeConn returns nil if the
// connection was closed.
func (a *Answer) TakeConn() *Conn {
	if a.done {
		return nil
	}
	a.done = true
	running := a.stop()
	if running && a.bodyRead && !a.Response.Close && a.fullyWritten() && !a.EndsWithConnection() {
		a.prepareReuse()
		return a.conn
	}
	a.conn.Discard()
	return nil
}

// fullyWritten reports whether the whole request was written.
func (a *Answer) fullyWritten() bool {
	select {
	case <-a.written.ended:
		return a.written.err == nil
	default:
		return false
	}
}

// EndsWithConnection reports whether the answer has neither a length nor chunks, so that its
// end is the end of the connection (RFC 9112, section 6.3).
func (a *Answer) EndsWithConnection() bool { return endsWithConnection(a.Response) }

func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// prepareReuse prepares the connection for another request.
func (a *Answer) prepareReuse() {
	config := a.conn.pool.config
	if announced, ok := keepAlive(a.Header); ok {
		a.conn.idleTimeout = max(announced-config.IdleMargin, 0)
	}
	if config.NoLongerIdle {
		a.conn.idleTimeout = min(a.conn.idleTimeout, config.IdleTimeout)
	}
	a.conn.raw.SetDeadline(time.Time{})
}
