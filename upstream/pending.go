package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/socket"
)

// ErrShutdownOver is the cause of the end of a request's context at the end of a graceful shutdown. What the server's
// answer has brought by then is still read: an instance that was short of processor time has not come to it.
var ErrShutdownOver = errors.New("the graceful shutdown of the instance is over")

const (
	// pendingWait bounds one read of bytes that have come. They are read at once, unless the process gets no processor time
	// between the setting of the deadline and the read. It is the time between the end of the requests and the exit.
	pendingWait = 100 * time.Millisecond
	// pendingBytes bounds what is read in all. A server that goes on sending does not hold up the end.
	pendingBytes = 256 << 10
)

// readAtEnd counts the answers of which bytes had come unread when a graceful shutdown ended their requests.
var readAtEnd atomic.Int64

// ReadAtEnd returns how many answers of this process had bytes that were unread when a graceful shutdown ended their requests.
// They show that the process was short of processor time.
func ReadAtEnd() int64 { return readAtEnd.Load() }

// pendingReader reads the bytes that a connection has received before its deadline.
type pendingReader struct {
	conn net.Conn
	read int
}

// next reads pending bytes. failed is the error if there are none.
func (r *pendingReader) next(p []byte, failed error) (int, error) {
	if r.read >= pendingBytes || socket.IsEmpty(r.conn) || r.conn.SetReadDeadline(time.Now().Add(pendingWait)) != nil {
		return 0, failed
	}
	n, err := r.conn.Read(p)
	if n > 0 && r.read == 0 {
		readAtEnd.Add(1)
	}
	r.read += n
	// The next read meets the deadline again, and comes here.
	_ = r.conn.SetReadDeadline(pastDeadline)
	return n, err
}
