package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// checkHead validates the header section that http.ReadResponse has parsed into response, where the parser is more lenient than
// RFC 9112, sections 2 to 6. For example, it accepts a blank in a field name, so that "Content-Length : 2" is an unknown field and the
// body has another length.
func checkHead(response *http.Response, head []byte) error {
	status, fields := cutLine(head)
	if !httpguts.ValidHeaderFieldValue(string(status)) {
		return errors.New("the status line contains a control character")
	}
	if response.ProtoMajor != 1 {
		return errors.Errorf("unsupported protocol version HTTP/%d.%d", response.ProtoMajor, response.ProtoMinor)
	}
	for line, rest := cutLine(fields); len(line) > 0; line, rest = cutLine(rest) {
		if err := checkLine(response, line); err != nil {
			return err
		}
	}
	return nil
}

// cutLine returns the first line of a head, without its end, and what follows.
func cutLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkLine checks one line of a header section after the status line.
func checkLine(response *http.Response, line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		// Line folding: the line continues the previous value (RFC 9112, section 5.2).
		return nil
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found {
		return errors.New("a header line has no colon")
	}
	if !response.ProtoAtLeast(1, 1) && strings.EqualFold(string(name), "Transfer-Encoding") {
		// http.ReadResponse drops the field and takes the chunk framing for the body (RFC 9112, section 6.1).
		return errors.New("a transfer encoding in an HTTP/1.0 answer")
	}
	return checkName(string(name))
}

// checkName checks a field name. The error does not quote it, because it may contain any bytes.
func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.New("a field name is not a token")
	}
	return nil
}

// checkTrailer checks the trailer fields of a chunked answer whose body was read.
func checkTrailer(response *http.Response) error {
	for name := range response.Trailer {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

// maxHeadBytes bounds the bytes that are received until the header of an answer is complete, with those of the interim
// answers before it. Headers of servers have some hundred bytes.
const maxHeadBytes = 32 << 10

// errTooLong is the error of a header of more than maxHeadBytes, or of answers to other requests of more than maxStrayBytes.
var errTooLong = errors.New("the header of the answer, or what precedes it, is too long")

// headReader reads from a connection, up to a limit until the answer to the request has begun: http.ReadResponse has
// none of its own.
type headReader struct {
	conn    net.Conn
	limited bool
	left    int
	// head holds the bytes from the start of a head on, while recording is set.
	recording bool
	head      []byte
	// ctx is the context of the request, and pending reads what has come by its end.
	ctx     context.Context
	pending pendingReader
}

// begin prepares for the answer to a request.
func (r *headReader) begin(ctx context.Context) { r.ctx, r.pending = ctx, pendingReader{conn: r.conn} }

// read reads from the connection. At the end of a graceful shutdown it reads what has come already, before it fails.
func (r *headReader) read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.ctx != nil && errors.Is(context.Cause(r.ctx), ErrShutdownOver) {
		return r.pending.next(p, err)
	}
	return n, err
}

func (r *headReader) limit(bytes int) { r.limited, r.left = true, bytes }
func (r *headReader) unlimit()        { r.limited, r.recording, r.head = false, false, nil }

// record begins to record the head that buffered, which reads from r, reads next.
func (r *headReader) record(buffered *bufio.Reader) {
	// As many bytes as are buffered can be peeked at.
	begun, _ := buffered.Peek(buffered.Buffered())
	r.recording, r.head = true, append(r.head[:0], begun...)
}

// recorded ends the recording and returns the head. What buffered has not read yet is not part of it.
func (r *headReader) recorded(buffered *bufio.Reader) []byte {
	r.recording = false
	return r.head[:len(r.head)-buffered.Buffered()]
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.read(p)
	}
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.read(p[:min(len(p), r.left)])
	r.left -= n
	if r.recording {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}
