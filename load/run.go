package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mastwheel/mastwheel/client"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/wait"
)

// Targets holds the latency targets of the model service.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// DefaultTargets returns the targets in the service requirements: 1.1 s to the
// first token and 41 ms between tokens.
func DefaultTargets() Targets {
	return Targets{FirstToken: 1100 * time.Millisecond, BetweenTokens: 41 * time.Millisecond}
}

// Options configures a run of planned requests.
type Options struct {
	Profile  Profile
	Arrivals []Arrival
	Targets  Targets
	// Callers send the requests in turn. Each keeps the address of the instance that it
	// selected.
	Callers []*client.Client
	// ExpectedAnswer, if not nil, returns the expected answer to a prompt, cut off after
	// a number of tokens.
	ExpectedAnswer func(prompt string, tokens int) string
	// Progress, if not nil, is called whenever a request has ended.
	Progress func(ended, total int)
}

// Entry records the result of one request as its caller observed it.
type Entry struct {
	RequestID string
	Plain     bool
	Operation string
	Outcome   reason.Outcome
	Reason    reason.Reason
	Team      string
	Good      bool
	// Left is set if the caller cancelled the request.
	Left bool
	// Prompt is the request's prompt. Ended is when the caller received the
	// answer, lost its connection or cancelled the request.
	Prompt string
	Ended  time.Time
	// Wrong is set if the received text is neither the expected answer nor a
	// prefix of it.
	Wrong bool
	At    time.Duration
}

// Report holds the results that the callers observed.
type Report struct {
	Entries      []Entry
	Duration     time.Duration
	FirstToken   *hdrhistogram.Histogram
	BetweenToken *hdrhistogram.Histogram
	Call         *hdrhistogram.Histogram
}

const (
	// histogramMaxMicros is the longest latency that the histograms record, in
	// microseconds.
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
)

// session collects the report of one run.
type session struct {
	options Options
	mu      sync.Mutex
	report  Report
}

// Run sends the requests at their planned times and waits until all have ended.
// It sends no more once ctx is done.
func Run(ctx context.Context, options Options) *Report {
	s := &session{options: options, report: Report{
		FirstToken:   hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		BetweenToken: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		Call:         hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}}
	started := time.Now()
	var group sync.WaitGroup
	for n, arrival := range options.Arrivals {
		if !wait.Until(ctx, started.Add(arrival.At)) {
			break
		}
		from := options.Callers[n%len(options.Callers)]
		group.Go(func() { s.send(ctx, from, arrival) })
	}
	group.Wait()
	s.report.Duration = time.Since(started)
	return &s.report
}

func (s *session) send(ctx context.Context, from *client.Client, arrival Arrival) {
	if arrival.CancelAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, arrival.CancelAfter)
		defer cancel()
	}
	if arrival.Plain {
		s.sendPlain(ctx, from, arrival)
		return
	}
	s.sendModel(ctx, from, arrival)
}

func (s *session) sendPlain(ctx context.Context, from *client.Client, arrival Arrival) {
	call := client.Call{Service: s.options.Profile.Service, Method: http.MethodGet, Path: "/lookup", Team: arrival.Team}
	if arrival.NotIdempotent {
		call.Method, call.Path, call.WithOperationID = http.MethodPost, "/hold", true
	}
	result := from.Do(ctx, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Outcome == reason.Done {
		s.report.Call.RecordValue(result.Took.Microseconds())
	}
	s.addEntry(Entry{
		RequestID: result.RequestID, Plain: true, Operation: result.Operation,
		Outcome: result.Outcome, Reason: result.Reason, Team: arrival.Team, At: arrival.At,
		Good: result.Outcome == reason.Done,
	})
}

func (s *session) sendModel(ctx context.Context, from *client.Client, arrival Arrival) {
	result := from.Complete(ctx, client.Completion{
		Model: s.options.Profile.Model, Prompt: arrival.Prompt, MaxTokens: arrival.MaxTokens, Team: arrival.Team,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := Entry{
		RequestID: result.RequestID, Outcome: result.Outcome, Reason: result.Reason,
		Team: arrival.Team, At: arrival.At, Left: ctx.Err() != nil, Prompt: arrival.Prompt, Ended: time.Now(),
	}
	entry.Wrong = s.wrongAnswer(arrival, result)
	if result.Outcome == reason.Done {
		s.report.FirstToken.RecordValue(result.FirstToken.Microseconds())
		s.report.BetweenToken.RecordValue(result.TokenInterval.Microseconds())
		targets := s.options.Targets
		entry.Good = result.FirstToken <= targets.FirstToken && result.TokenInterval <= targets.BetweenTokens
	}
	s.addEntry(entry)
}

// wrongAnswer reports whether a complete answer differs from the expected one, or
// a partial answer from the beginning of the expected one.
func (s *session) wrongAnswer(arrival Arrival, result client.Result) bool {
	if s.options.ExpectedAnswer == nil || result.Tokens == 0 {
		return false
	}
	if result.Tokens > arrival.MaxTokens {
		return true
	}
	if result.Outcome == reason.Done && result.Tokens != arrival.MaxTokens {
		return true
	}
	return result.Text != s.options.ExpectedAnswer(arrival.Prompt, result.Tokens)
}

func (s *session) addEntry(entry Entry) {
	s.report.Entries = append(s.report.Entries, entry)
	if s.options.Progress != nil {
		s.options.Progress(len(s.report.Entries), len(s.options.Arrivals))
	}
}
