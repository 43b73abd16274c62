// Package upstream keeps connections to backend servers and sends one request
// at a time over each. It reports whether a request was certainly not sent and
// matches each answer to its request. It doesn't reuse a connection on which
// more bytes than the answer were received.
package upstream

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent means that no byte of the request left this instance.
	ErrNotSent = errors.New("no connection to the backend server")
	// ErrRefused is the case of ErrNotSent in which no process listens at the server's
	// address.
	ErrRefused = errors.WithMessage(ErrNotSent, "connection refused")
	// ErrReset is the case of ErrNotSent in which a new connection was accepted and reset at
	// once, as when the process at the server's address exits.
	ErrReset = errors.WithMessage(ErrNotSent, "connection reset")
	// ErrLimit is the case of ErrNotSent in which this instance may open no more connections to the
	// server, which says nothing about the server.
	ErrLimit = errors.WithMessage(ErrNotSent, "connection limit reached")
	// ErrBroken means that the request was sent at least in part and that no
	// complete answer was received. The backend server may have run it.
	ErrBroken = errors.New("no complete answer from the backend server")
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config sets the timeouts of the connections to one backend server.
type Config struct {
	// DialTimeout limits the time to open a connection. A shorter timeout
	// detects a dead server sooner. It must be long enough for one lost packet
	// inside a region, which is retransmitted after 200 ms at the earliest
	// (RFC 6298 with Linux's minimum).
	DialTimeout time.Duration
	// SilenceTimeout is the time without an acknowledgement of sent bytes after
	// which a connection is closed (TCP_USER_TIMEOUT). It also decides when
	// keep-alive probes give up, whatever their count. A shorter timeout fails
	// the requests to a dead server sooner. A longer one tolerates longer
	// periods of packet loss, and servers that are silent for a while.
	SilenceTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed, unless
	// the server announced another time.
	IdleTimeout time.Duration
	// NoLongerIdle keeps an announced time that is longer than IdleTimeout from replacing it, for peers whose connections
	// may die without a sign of it.
	NoLongerIdle bool
	// SourceAddress, if set, is the local IP address of the connections.
	SourceAddress string
	// Dial, if set, opens connections in place of a net.Dialer. Its context ends after DialTimeout.
	Dial Dial
	// IdleMargin is the time before the end of an announced idle timeout from
	// which a connection is no longer used, so that the server doesn't close it
	// while a request is in transit.
	IdleMargin time.Duration
}

// SoundSilence is how long a server may be silent and go on afterwards. Servers fall silent for a second
// or so (source: the service requirements), and the rest allows for a retransmission.
const SoundSilence = 1800 * time.Millisecond

// DefaultConfig returns the timeouts for servers in the same region.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    400 * time.Millisecond,
		SilenceTimeout: SoundSilence,
		IdleTimeout:    20 * time.Second,
		IdleMargin:     700 * time.Millisecond,
	}
}
