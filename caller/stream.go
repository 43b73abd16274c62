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

// errCallerGone means that the connection of the caller is closed.
var errCallerGone = errors.New("caller disconnected")

// textSink collects a whole answer.
type textSink struct {
	ctx  context.Context
	text strings.Builder
}

// Token implements request.Sink.
func (t *textSink) Token(token engine.Token) error {
	if t.ctx.Err() != nil {
		return errCallerGone
	}
	t.text.WriteString(token.Text)
	return nil
}

func (s *Server) completeWhole(ctx *fasthttp.RequestCtx, c completion) {
	leave := s.instance.BeginRequest()
	defer leave()
	callerCtx, release := callerContext(ctx)
	defer release()
	sink := &textSink{ctx: callerCtx}
	result := s.instance.Runner.RunModel(callerCtx, c.req, sink)
	if result.Outcome != reason.Done {
		s.writeFailure(ctx, resultFailure(result))
		return
	}
	ctx.Response.Header.Set(HeaderRequestID, result.RequestID)
	ctx.Response.Header.Set(HeaderOutcome, string(result.Outcome))
	writeJSON(ctx, fasthttp.StatusOK, answerBody{
		ID: result.RequestID, Object: c.format.whole, Created: time.Now().Unix(), Model: c.req.Model,
		Choices: []answerChoice{c.format.wholeChoice(sink.text.String())},
		Usage:   usageOf(result), Outcome: result.Outcome,
	})
}

// streamSink writes each token as a server-sent event. The HTTP status must be
// known before the first byte is written. The first token therefore waits until
// the handler has started the stream and passed the writer.
type streamSink struct {
	ctx     context.Context
	body    answerBody
	format  answerFormat
	started chan struct{}
	writer  chan *bufio.Writer
	out     *bufio.Writer
	// last is the last token. It is withheld until the outcome is known, since
	// its chunk carries the outcome.
	last *engine.Token
}

// Token implements request.Sink.
func (t *streamSink) Token(token engine.Token) error {
	if t.out == nil && !t.start() {
		return errCallerGone
	}
	if token.Last {
		t.last = &token
		return nil
	}
	t.body.Choices = []answerChoice{t.format.chunkChoice(token.Text, token.Position == 0, false)}
	return t.writeEvent(&t.body)
}

// start signals the handler to start the stream and waits for the writer.
func (t *streamSink) start() bool {
	close(t.started)
	select {
	case t.out = <-t.writer:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *streamSink) writeEvent(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode stream event")
	}
	t.out.WriteString("data: ")
	t.out.Write(encoded)
	t.out.WriteString("\n\n")
	if err := t.out.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// finish writes the last token with the outcome, or the error that ended the
// stream early.
func (t *streamSink) finish(result request.Result) {
	if result.Outcome != reason.Done || t.last == nil {
		t.writeEvent(resultFailure(result).openAI())
		return
	}
	t.body.Choices = []answerChoice{t.format.chunkChoice(t.last.Text, t.last.Position == 0, true)}
	t.body.Outcome = result.Outcome
	t.body.Usage = usageOf(result)
	if t.writeEvent(&t.body) == nil {
		t.out.WriteString("data: [DONE]\n\n")
		t.out.Flush()
	}
}

func (s *Server) completeStream(ctx *fasthttp.RequestCtx, c completion) {
	leave := s.instance.BeginRequest()
	callerCtx, release := callerContext(ctx)
	sink := &streamSink{
		ctx:    callerCtx,
		format: c.format,
		body: answerBody{
			ID: c.req.ID, Object: c.format.chunk, Created: time.Now().Unix(), Model: c.req.Model,
		},
		started: make(chan struct{}),
		writer:  make(chan *bufio.Writer),
	}
	finished := make(chan request.Result, 1)
	go func() { finished <- s.instance.Runner.RunModel(callerCtx, c.req, sink) }()
	select {
	case result := <-finished:
		release()
		leave()
		s.writeFailure(ctx, resultFailure(result))
		return
	case <-sink.started:
	}
	ctx.Response.Header.Set(HeaderRequestID, c.req.ID)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		defer leave()
		defer release()
		sink.run(out, finished)
	})
}

// run passes the writer to the request and waits until the request ends.
func (t *streamSink) run(out *bufio.Writer, finished <-chan request.Result) {
	select {
	case t.writer <- out:
		t.finish(<-finished)
	case <-finished:
	}
}
