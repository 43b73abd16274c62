package speed

import (
	"sync/atomic"
	"time"
)

// Server holds what an instance knows about the speed of one run of a backend server. The zero
// value knows nothing. Safe for concurrent use.
type Server struct{ kinds [Kinds]atomic.Pointer[kind] }

// kind holds what is known about one kind of work. Most servers do one kind only.
type kind struct {
	own Window
	// others is the estimate that other instances reported.
	others atomic.Pointer[Estimate]
	// rating is the last comparison with the other servers of the service; nil if their
	// speeds do not differ.
	rating atomic.Pointer[Rating]
}

// of returns the state of a kind of work and creates it if needed.
func (s *Server) of(k Kind) *kind {
	if known := s.kinds[k].Load(); known != nil {
		return known
	}
	s.kinds[k].CompareAndSwap(nil, new(kind))
	return s.kinds[k].Load()
}

// Record adds a measurement of this instance: the time that a number of units took.
func (s *Server) Record(k Kind, took time.Duration, units float64, now time.Time) {
	s.of(k).own.Record(took, units, now)
}

// Own returns this instance's own estimate.
func (s *Server) Own(k Kind, now time.Time) Estimate {
	if known := s.kinds[k].Load(); known != nil {
		return known.own.Estimate(now)
	}
	return Estimate{}
}

// SetOthers sets the estimate that other instances reported.
func (s *Server) SetOthers(k Kind, others Estimate) { s.of(k).others.Store(&others) }

// Estimate returns the estimate of all instances.
func (s *Server) Estimate(k Kind, now time.Time) Estimate {
	known := s.kinds[k].Load()
	if known == nil {
		return Estimate{}
	}
	own := known.own.Estimate(now)
	if others := known.others.Load(); others != nil {
		return Combine(now, own, *others)
	}
	return own
}

// SetRating sets the comparison with the other servers of the service; nil if their speeds do
// not differ.
func (s *Server) SetRating(k Kind, rating *Rating) {
	if rating != nil {
		s.of(k).rating.Store(rating)
	} else if known := s.kinds[k].Load(); known != nil {
		known.rating.Store(nil)
	}
}

// Rating returns the comparison with the other servers of the service; nil if their speeds do
// not differ.
func (s *Server) Rating(k Kind) *Rating {
	if known := s.kinds[k].Load(); known != nil {
		return known.rating.Load()
	}
	return nil
}

// maxTrials is how many requests an unknown server may have before it counts as slow.
const maxTrials = 2

// Relative returns the server's speed as a fraction of that of the fastest server of its
// service, for the choice among servers. It is 1 where speeds do not differ. An unknown server
// counts as the median while it has few requests and as the slowest server beyond that.
func (s *Server) Relative(k Kind, requests int) float64 {
	rating := s.Rating(k)
	switch {
	case rating == nil:
		return 1
	case rating.Unknown && requests >= maxTrials:
		return rating.Slowest
	}
	return rating.Relative
}

// Time returns the time for one unit of work, for the choice among servers. rated is false
// where speeds do not differ.
func (s *Server) Time(k Kind, requests int) (perUnit time.Duration, rated bool) {
	rating := s.Rating(k)
	if rating == nil {
		return 0, false
	}
	seconds := rating.Used * rating.Relative / s.Relative(k, requests)
	return time.Duration(seconds * float64(time.Second)), true
}
