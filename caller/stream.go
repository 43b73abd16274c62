package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
)

// errGone means that the caller's connection is closed.
var errGone = errors.New("caller has gone")

// textSink gathers a whole answer.
type textSink struct {
	ctx  context.Context
	text strings.Builder
}

// Token implements request.Sink.
func (t *textSink) Token(token engine.Token) error {
	if t.ctx.Err() != nil {
		return errGone
	}
	t.text.WriteString(token.Text)
	return nil
}

func (s *Server) completeWhole(ctx *fasthttp.RequestCtx, c completion) {
	leave := s.instance.Enter()
	defer leave()
	watched, release := watch(ctx)
	defer release()
	sink := &textSink{ctx: watched}
	result := s.instance.Runner.RunModel(watched, c.ask, sink)
	if result.Outcome != reason.Done {
		s.refuse(ctx, resultFailure(result))
		return
	}
	ctx.Response.Header.Set(HeaderRequestID, result.RequestID)
	ctx.Response.Header.Set(HeaderOutcome, string(result.Outcome))
	writeJSON(ctx, fasthttp.StatusOK, answerBody{
		ID: result.RequestID, Object: c.shape.whole, Created: time.Now().Unix(), Model: c.ask.Model,
		Choices: []answerChoice{c.shape.wholeChoice(sink.text.String())},
		Usage:   usageOf(result), Outcome: result.Outcome,
	})
}

// streamSink writes each token as a server-sent event. The HTTP status must
// be known before the first byte, so the first token waits until the handler
// has begun the stream and handed over the writer.
type streamSink struct {
	ctx     context.Context
	body    answerBody
	shape   shape
	started chan struct{}
	writer  chan *bufio.Writer
	out     *bufio.Writer
	// last is held back, to carry the outcome.
	last *engine.Token
}

// Token implements request.Sink.
func (t *streamSink) Token(token engine.Token) error {
	if t.out == nil && !t.begin() {
		return errGone
	}
	if token.Last {
		t.last = &token
		return nil
	}
	t.body.Choices = []answerChoice{t.shape.chunkChoice(token.Text, token.Position == 0, false)}
	return t.event(&t.body)
}

// begin tells the handler to start the stream, and waits for the writer.
func (t *streamSink) begin() bool {
	close(t.started)
	select {
	case t.out = <-t.writer:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *streamSink) event(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	t.out.WriteString("data: ")
	t.out.Write(encoded)
	t.out.WriteString("\n\n")
	if err := t.out.Flush(); err != nil {
		return errGone
	}
	return nil
}

// end writes the last token with the outcome, or the error that ended the
// stream early.
func (t *streamSink) end(result request.Result) {
	if result.Outcome != reason.Done || t.last == nil {
		t.event(resultFailure(result).openAI())
		return
	}
	t.body.Choices = []answerChoice{t.shape.chunkChoice(t.last.Text, t.last.Position == 0, true)}
	t.body.Outcome = result.Outcome
	t.body.Usage = usageOf(result)
	if t.event(&t.body) == nil {
		t.out.WriteString("data: [DONE]\n\n")
		t.out.Flush()
	}
}

func (s *Server) completeStream(ctx *fasthttp.RequestCtx, c completion) {
	leave := s.instance.Enter()
	watched, release := watch(ctx)
	sink := &streamSink{
		ctx:   watched,
		shape: c.shape,
		body: answerBody{
			ID: c.ask.ID, Object: c.shape.chunk, Created: time.Now().Unix(), Model: c.ask.Model,
		},
		started: make(chan struct{}),
		writer:  make(chan *bufio.Writer),
	}
	finished := make(chan request.Result, 1)
	go func() { finished <- s.instance.Runner.RunModel(watched, c.ask, sink) }()
	select {
	case result := <-finished:
		release()
		leave()
		s.refuse(ctx, resultFailure(result))
		return
	case <-sink.started:
	}
	ctx.Response.Header.Set(HeaderRequestID, c.ask.ID)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		defer leave()
		defer release()
		sink.run(out, finished)
	})
}

// run hands the writer to the request and waits for its end.
func (t *streamSink) run(out *bufio.Writer, finished <-chan request.Result) {
	select {
	case t.writer <- out:
		t.end(<-finished)
	case <-finished:
	}
}
