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

// Targets are the latency targets of the model service.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// DefaultTargets are those of the brief's plan: 1.1 s and 41 ms.
func DefaultTargets() Targets {
	return Targets{FirstToken: 1100 * time.Millisecond, BetweenTokens: 41 * time.Millisecond}
}

// Options says how to run a plan.
type Options struct {
	Profile  Profile
	Arrivals []Arrival
	Targets  Targets
	// Callers is how many callers share the arrivals; each keeps an address of
	// its own.
	Callers []*client.Client
	// Answer, if not nil, returns the right answer to a prompt.
	Answer func(prompt string, tokens int) string
	// Progress, if not nil, is called as requests end.
	Progress func(ended, total int)
}

// Entry is one line of the callers' ledger.
type Entry struct {
	RequestID string
	Plain     bool
	Operation string
	Outcome   reason.Outcome
	Reason    reason.Reason
	Team      string
	Good      bool
	// Left is set when the caller went away by itself.
	Left bool
	// Prompt is what was asked, and Ended when the caller was answered, lost
	// its connection or went away.
	Prompt string
	Ended  time.Time
	// Wrong is set when what arrived is not the right answer, or its begin.
	Wrong bool
	At    time.Duration
}

// Report is what the callers saw.
type Report struct {
	Entries      []Entry
	Duration     time.Duration
	FirstToken   *hdrhistogram.Histogram
	BetweenToken *hdrhistogram.Histogram
	Call         *hdrhistogram.Histogram
}

const (
	// histogramMax is the longest time that is told apart, in microseconds.
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// session gathers a report.
type session struct {
	options Options
	mu      sync.Mutex
	report  Report
}

// Run plays the arrivals and waits for every answer.
func Run(ctx context.Context, options Options) *Report {
	s := &session{options: options, report: Report{
		FirstToken:   hdrhistogram.New(1, histogramMax, histogramDigits),
		BetweenToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		Call:         hdrhistogram.New(1, histogramMax, histogramDigits),
	}}
	started := time.Now()
	var group sync.WaitGroup
	for n, arrival := range options.Arrivals {
		if !wait.Until(ctx, started.Add(arrival.At)) {
			break
		}
		from := options.Callers[n%len(options.Callers)]
		group.Go(func() { s.one(ctx, from, arrival) })
	}
	group.Wait()
	s.report.Duration = time.Since(started)
	return &s.report
}

func (s *session) one(ctx context.Context, from *client.Client, arrival Arrival) {
	if arrival.CancelAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, arrival.CancelAfter)
		defer cancel()
	}
	if arrival.Plain {
		s.plain(ctx, from, arrival)
		return
	}
	s.model(ctx, from, arrival)
}

func (s *session) plain(ctx context.Context, from *client.Client, arrival Arrival) {
	call := client.Call{Service: s.options.Profile.Service, Method: http.MethodGet, Path: "/lookup", Team: arrival.Team}
	if arrival.Once {
		call.Method, call.Path, call.Once = http.MethodPost, "/hold", true
	}
	result := from.Do(ctx, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Outcome == reason.Done {
		s.report.Call.RecordValue(result.Took.Microseconds())
	}
	s.keep(Entry{
		RequestID: result.RequestID, Plain: true, Operation: result.Operation,
		Outcome: result.Outcome, Reason: result.Reason, Team: arrival.Team, At: arrival.At,
		Good: result.Outcome == reason.Done,
	})
}

func (s *session) model(ctx context.Context, from *client.Client, arrival Arrival) {
	result := from.Complete(ctx, client.Completion{
		Model: s.options.Profile.Model, Prompt: arrival.Prompt, MaxTokens: arrival.MaxTokens, Team: arrival.Team,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := Entry{
		RequestID: result.RequestID, Outcome: result.Outcome, Reason: result.Reason,
		Team: arrival.Team, At: arrival.At, Left: ctx.Err() != nil, Prompt: arrival.Prompt, Ended: time.Now(),
	}
	entry.Wrong = s.wrong(arrival, result)
	if result.Outcome == reason.Done {
		s.report.FirstToken.RecordValue(result.FirstToken.Microseconds())
		s.report.BetweenToken.RecordValue(result.Between.Microseconds())
		targets := s.options.Targets
		entry.Good = result.FirstToken <= targets.FirstToken && result.Between <= targets.BetweenTokens
	}
	s.keep(entry)
}

// wrong says whether a whole answer is not the right one, or the begin of an
// answer not the begin of the right one.
func (s *session) wrong(arrival Arrival, result client.Result) bool {
	if s.options.Answer == nil || result.Tokens == 0 {
		return false
	}
	if result.Tokens > arrival.MaxTokens {
		return true
	}
	if result.Outcome == reason.Done && result.Tokens != arrival.MaxTokens {
		return true
	}
	return result.Text != s.options.Answer(arrival.Prompt, result.Tokens)
}

func (s *session) keep(entry Entry) {
	s.report.Entries = append(s.report.Entries, entry)
	if s.options.Progress != nil {
		s.options.Progress(len(s.report.Entries), len(s.options.Arrivals))
	}
}
