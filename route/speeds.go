package route

import (
	"time"

	"github.com/mastwheel/mastwheel/speed"
	"github.com/mastwheel/mastwheel/table"
)

// requests returns the number of requests that all instances have at the server, as far as this
// one knows.
func (s *Server) requests() int { return s.InFlight() + s.Others().InFlight }

// RateSpeeds compares the speeds of the servers of a service for each kind of work. Choices use
// the result until the next comparison.
func (f *Fleet) RateSpeeds(pool []*table.BackendView, now time.Time) {
	servers := make([]*Server, 0, len(pool))
	for _, backend := range pool {
		if server := f.Server(backend.Name); server != nil {
			servers = append(servers, server)
		}
	}
	estimates := make([]speed.Estimate, len(servers))
	for k := speed.Reading; k < speed.Kinds; k++ {
		for i, server := range servers {
			estimates[i] = server.Speeds.Estimate(k, now)
		}
		ratings := speed.Rate(estimates, now)
		for i, server := range servers {
			if ratings == nil {
				server.Speeds.SetRating(k, nil)
			} else {
				server.Speeds.SetRating(k, &ratings[i])
			}
		}
	}
}

// RecordRead records that a prefill engine answered after the given time. waiting is the number
// of unread tokens there when the prompt was sent, including the prompt's own. Only a prompt
// that found no others there counts: how much of the others was left to read is not known, and
// estimates that included them took engines with long queues for a quarter faster.
func (s *Server) RecordRead(waiting, tokens int, took time.Duration, now time.Time) {
	if waiting <= tokens {
		s.Speeds.Record(speed.Reading, took, float64(tokens), now)
	}
}

// ReadTimeKnown reports whether ReadTime follows measurements, by this instance or by others.
func (s *Server) ReadTimeKnown() bool {
	if _, measured := s.Prefills.Time(1); measured {
		return true
	}
	rating := s.Speeds.Rating(speed.Reading)
	return rating != nil && !rating.Unknown
}

// RecordEvents records that events of a stream arrived after a pause.
func (s *Server) RecordEvents(events int, pause time.Duration, now time.Time) {
	s.Speeds.Record(speed.Event, pause, float64(events), now)
}

// maxCallsAtOnce is how many requests a server of a plain service may have for the duration of
// a call to count as its work time. With more, a call may have waited in the server's queue.
const maxCallsAtOnce = 4

// RecordCall records the duration of a call to a server of a plain service (without models).
func (s *Server) RecordCall(took time.Duration, now time.Time) {
	if s.requests() <= maxCallsAtOnce {
		s.Speeds.Record(speed.Call, took, 1, now)
	}
}

// WorkTime returns the usual time that a server of a plain service (without models) works on a
// request. known is false while there are too few measurements.
func (s *Server) WorkTime(now time.Time) (usual time.Duration, known bool) {
	estimate := s.Speeds.Estimate(speed.Call, now)
	return time.Duration(estimate.PerUnit * float64(time.Second)), estimate.Known(now)
}

// SeenSpeed is the speed of a candidate as a decision saw it. It is zero where speeds do not differ.
type SeenSpeed struct {
	// Relative is the speed as a fraction of that of the fastest server of the service.
	Relative float64 `json:"relative"`
	// Samples is the number of samples of the estimate, and AgeMillis is the age of the newest.
	Samples   int   `json:"samples"`
	AgeMillis int64 `json:"age_millis"`
}

// Rated reports whether the speeds of the service's servers differ.
func (s SeenSpeed) Rated() bool { return s.Relative > 0 }

// relative returns the speed that the decision saw. It is 1 where speeds do not differ.
func (r *ScoredCandidate) relative() float64 {
	if !r.Speed.Rated() {
		return 1
	}
	return r.Speed.Relative
}

// seenSpeed returns the speed of a server.
func seenSpeed(k speed.Kind, server *Server, now time.Time) SeenSpeed {
	rating := server.Speeds.Rating(k)
	if rating == nil {
		return SeenSpeed{}
	}
	seen := SeenSpeed{Relative: server.Speeds.Relative(k, server.requests()), Samples: rating.Count}
	if rating.Count > 0 {
		seen.AgeMillis = now.Sub(rating.Last).Milliseconds()
	}
	return seen
}
