package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/weightstore"
)

// PathLedger is the path of a stand-in's ledger.
const PathLedger = "/standin/ledger"

// LogLedger is the ledger of the log.
type LogLedger struct {
	Records int `json:"records"`
}

// PlainLedger is the ledger of a plain service: how often each operation ran.
type PlainLedger struct {
	Runs map[string]int `json:"runs"`
}

// Serve answers HTTP on a listener until the returned function is called.
func Serve(listener net.Listener, handler fasthttp.RequestHandler) (stop func()) {
	server := &fasthttp.Server{Handler: handler, Name: "standin", MaxRequestBodySize: 64 << 20}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(listener)
	}()
	return func() {
		listener.Close()
		server.Shutdown()
		<-done
	}
}

// EngineHandler returns the HTTP interface of an engine.
func EngineHandler(e *Engine) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == PathLedger {
			answer(ctx, e.Ledger(), nil)
			return
		}
		if e.Faults.Down.Load() {
			ctx.Conn().Close()
			return
		}
		e.route(ctx)
	}
}

func (e *Engine) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case engine.PathPrefill:
		handleOrder(ctx, e.Prefill)
	case engine.PathImport:
		handleOrder(ctx, func(order engine.ImportOrder) (struct{}, error) { return struct{}{}, e.Import(order) })
	case engine.PathCancel:
		handleOrder(ctx, func(attempt engine.Attempt) (struct{}, error) { return struct{}{}, e.Cancel(attempt) })
	case engine.PathWeights:
		handleOrder(ctx, func(order engine.WeightsOrder) (struct{}, error) { return struct{}{}, e.Order(order) })
	case engine.PathLoad:
		answer(ctx, e.Load(), nil)
	case engine.PathCacheEvents:
		after, _ := ctx.QueryArgs().GetUint("after")
		answer(ctx, e.CacheEvents(int64(after)), nil)
	case engine.PathDecode:
		e.streamDecode(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) streamDecode(ctx *fasthttp.RequestCtx) {
	var order engine.DecodeOrder
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	tokens, err := e.Decode(order)
	if err != nil {
		ctx.SetStatusCode(statusOf(err))
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		for token := range tokens {
			encoded, _ := json.Marshal(token)
			out.WriteString("data: ")
			out.Write(encoded)
			out.WriteString("\n\n")
			if out.Flush() != nil {
				return
			}
		}
	})
}

func handleOrder[Order, Answer any](ctx *fasthttp.RequestCtx, run func(Order) (Answer, error)) {
	var order Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	result, err := run(order)
	answer(ctx, result, err)
}

func answer(ctx *fasthttp.RequestCtx, value any, err error) {
	if errors.Is(err, engine.ErrBroken) || errors.Is(err, oplog.ErrUnavailable) || errors.Is(err, weightstore.ErrUnavailable) {
		// A broken server closes the connection without an answer.
		ctx.Conn().Close()
		return
	}
	if err != nil {
		ctx.SetStatusCode(statusOf(err))
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("standin: encode answer: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, engine.ErrRefused):
		return engine.StatusRefused
	case errors.Is(err, engine.ErrStale):
		return engine.StatusStale
	case errors.Is(err, engine.ErrNoMemory):
		return engine.StatusNoMemory
	case errors.Is(err, engine.ErrExpired), errors.Is(err, oplog.ErrTruncated):
		return engine.StatusExpired
	case errors.Is(err, oplog.ErrTooFast), errors.Is(err, weightstore.ErrBusy):
		return fasthttp.StatusTooManyRequests
	case errors.Is(err, weightstore.ErrUnknown):
		return fasthttp.StatusNotFound
	default:
		return fasthttp.StatusInternalServerError
	}
}

// PlatformLedger is the ledger of the platform.
type PlatformLedger struct {
	Log     LogLedger     `json:"log"`
	Weights WeightsLedger `json:"weights"`
}

// PlatformHandler returns the HTTP interface of the platform's log, instance list
// and weight store.
func PlatformHandler(log *Log, list *List, weights *Weights) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if name, ok := strings.CutPrefix(path, weightstore.PathWeights); ok {
			rate, _ := ctx.QueryArgs().GetUint("rate")
			ticket, err := weights.Reserve(context.Background(), name, int64(rate))
			answer(ctx, ticket, err)
			return
		}
		switch path {
		case oplog.PathRecords:
			log.serve(ctx)
		case instancelist.PathInstances:
			entries, err := list.List(context.Background(), string(ctx.QueryArgs().Peek("zone")))
			answer(ctx, entries, err)
		case instancelist.PathZones:
			zones, err := list.Zones(context.Background())
			answer(ctx, zones, err)
		case PathLedger:
			answer(ctx, PlatformLedger{Log: LogLedger{Records: log.Len()}, Weights: weights.Ledger()}, nil)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// maxReadRecords is the maximum number of records in the answer to one read.
const maxReadRecords = 1000

func (l *Log) serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		handleOrder(ctx, func(order oplog.AppendRequest) (oplog.AppendAnswer, error) {
			offset, err := l.Append(ctx, order.Data)
			return oplog.AppendAnswer{Offset: offset}, err
		})
		return
	}
	from := uint64(ctx.QueryArgs().GetUintOrZero("from"))
	limit := min(max(ctx.QueryArgs().GetUintOrZero("max"), 1), maxReadRecords)
	batch, err := l.Read(context.Background(), from, limit)
	if errors.Is(err, oplog.ErrTruncated) {
		answer(ctx, batch, nil)
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	answer(ctx, batch, err)
}

// PlainHandler returns the HTTP interface of one server of a plain service.
func PlainHandler(p *Plain, address string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == PathLedger {
			answer(ctx, PlainLedger{Runs: p.Runs()}, nil)
			return
		}
		call := service.Call{Method: string(ctx.Method()), Path: string(ctx.RequestURI())}
		if key := ctx.Request.Header.Peek(HeaderOperation); len(key) > 0 {
			call.Headers = []service.Header{{Name: HeaderOperation, Value: string(key)}}
		}
		result, err := p.Do(context.Background(), address, call)
		switch {
		case errors.Is(err, service.ErrNotRun):
			ctx.Response.Header.Set(service.HeaderOutcome, "not_run")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case err != nil:
			ctx.Conn().Close()
		default:
			ctx.SetStatusCode(result.Status)
			for _, header := range result.Headers {
				ctx.Response.Header.Set(header.Name, header.Value)
			}
			ctx.SetBody(result.Body)
		}
	}
}
