// Package upstream keeps connections to backend servers and carries one
// request at a time over each. It knows when a request was certainly not sent,
// matches each answer to its request, and never uses a connection again that
// has said one byte too many.
package upstream

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent means that no byte of the request left this instance.
	ErrNotSent = errors.New("no connection to the backend server")
	// ErrRefused is ErrNotSent where nobody listens at the server's address.
	ErrRefused = errors.WithMessage(ErrNotSent, "connection refused")
	// ErrBroken means that the request was sent, at least in part, and that no
	// whole answer came back: the backend server may have run it.
	ErrBroken = errors.New("no whole answer from the backend server")
)

// Config bounds the connections to one backend server.
type Config struct {
	// DialTimeout bounds the opening of a connection. Shorter finds a dead
	// server sooner; it must outlast one lost packet inside a region, whose
	// repetition takes 200 ms at the earliest (RFC 6298 with Linux's floor).
	DialTimeout time.Duration
	// SilenceTimeout ends a connection whose sent bytes were not acknowledged
	// for so long (TCP_USER_TIMEOUT). Shorter frees callers of a dead server
	// sooner; longer survives longer losses of packets.
	SilenceTimeout time.Duration
	// IdleTimeout closes a connection that nobody used for so long, unless the
	// server announced a shorter time.
	IdleTimeout time.Duration
	// IdleMargin is how long before an announced idle timeout a connection is
	// no longer used: the server's close must not cross a request.
	IdleMargin time.Duration
}

// DefaultConfig suits servers of the same region.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    400 * time.Millisecond,
		SilenceTimeout: 900 * time.Millisecond,
		IdleTimeout:    20 * time.Second,
		IdleMargin:     700 * time.Millisecond,
	}
}
