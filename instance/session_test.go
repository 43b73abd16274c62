package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
)

// session is a small system in memory on a virtual clock. Its events are
// recorded in a transcript, which is compared with a golden file.
type session struct {
	t       *testing.T
	ctx     context.Context
	started time.Time
	log     *standin.Log
	list    *standin.List
	farm    *standin.Farm
	plain   *standin.Plain
	weights *standin.Weights
	network *standin.Network
	nodes   map[string]*node
	text    strings.Builder
}

// node is one instance of a session.
type node struct {
	*instance.Instance
	lifeline *standin.Lifeline
	port     *standin.Port
	log      *disconnectableLog
	orders   *delayedOrders
	done     chan struct{}
}

// disconnectableLog is the log as one instance reaches it.
type disconnectableLog struct {
	oplog.Client
	disconnected atomic.Bool
}

func (l *disconnectableLog) Read(ctx context.Context, from uint64, most int) (oplog.Batch, error) {
	if l.disconnected.Load() {
		return oplog.Batch{}, oplog.ErrUnavailable
	}
	return l.Client.Read(ctx, from, most)
}

// disconnectLog makes further reads of the log by the instance fail.
func (n *node) disconnectLog() { n.log.disconnected.Store(true) }

const (
	prefillAddress = standin.SamplePrefill
	decodeOne      = standin.SampleDecodeOne
	decodeTwo      = standin.SampleDecodeTwo
)

// runSession runs a session with two instances and compares its transcript with
// the golden file of the test's name.
func runSession(t *testing.T, script func(*session)) {
	t.Helper()
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t)
		s.start("sabana-1", "sabana")
		s.start("heredia-1", "heredia")
		time.Sleep(3 * time.Second)
		script(s)
		time.Sleep(10 * time.Second)
		s.recordLedgers()
		for _, n := range s.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
		transcript = s.text.String()
	})
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, t.Name(), []byte(transcript))
}

func newSession(t *testing.T) *session {
	s := &session{
		t: t, ctx: t.Context(), started: time.Now(),
		log: standin.NewLog(), list: standin.NewList(0), farm: standin.SampleFarm(),
		weights: standin.NewWeights(map[string]int64{"v1": 1, "v2": 1, "v3": 1}),
		plain:   standin.NewPlain(5 * time.Millisecond), network: standin.NewNetwork(time.Millisecond / 2),
		nodes: make(map[string]*node),
	}
	s.append(standin.SampleEdit())
	return s
}

func recordOf(t *testing.T, edit table.Edit) []byte {
	t.Helper()
	record, err := json.Marshal(edit)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func (s *session) append(edit table.Edit) {
	if _, err := s.log.Append(s.ctx, recordOf(s.t, edit)); err != nil {
		s.recordf("append of %s: %v", edit.ID, err)
	}
}

// start starts an instance, or a new run of it.
func (s *session) start(name, zone string) *node {
	address := "10.1.0.1:1 " + name
	port := s.network.Port(address)
	config := instance.DefaultRegion()
	config.Name, config.Zone, config.Caller, config.Peer = name, zone, name+":80", address
	random := rand.New(rand.NewPCG(1, uint64(len(name))))
	n := &node{lifeline: standin.NewLifeline(), port: port, log: &disconnectableLog{Client: s.log}, done: make(chan struct{})}
	n.orders = &delayedOrders{Client: s.farm}
	n.Instance = instance.New(config, instance.Deps{
		Engines: n.lifeline.Engines(n.orders), Services: n.lifeline.Services(s.plain),
		Log: n.lifeline.Log(n.log), List: n.lifeline.List(s.list), Peers: n.lifeline.Peers(port), Weights: s.weights,
		Random: standin.LockedRandom(random),
	})
	s.nodes[name] = n
	s.list.Set(instancelist.Entry{Name: name, Zone: zone, Peer: address, State: instancelist.Live})
	go func() {
		defer close(n.done)
		n.Run(n.lifeline.Context())
	}()
	return n
}

// stop kills the instance immediately, without a drain.
func (n *node) stop() {
	n.lifeline.Kill()
	n.port.Close()
	<-n.done
}

// killAndUnlist kills an instance and removes it from the instance list.
func (s *session) killAndUnlist(name string) {
	s.nodes[name].stop()
	delete(s.nodes, name)
	s.list.Remove(name)
	s.recordf("instance %s is lost", name)
}

// callHold sends a non-idempotent call with an operation id to an instance, and
// records the outcome.
func (s *session) callHold(home *node, id operation.ID) { s.callHoldUntil(s.ctx, home, id) }

// callHoldUntil is callHold by a caller that disconnects when ctx ends.
func (s *session) callHoldUntil(ctx context.Context, home *node, id operation.ID) {
	answer, result := home.Runner.RunPlain(ctx, request.Plain{
		ID: home.NewRequestID(), Service: "plate-desk", Operation: &id,
		Call: service.Call{Method: "POST", Path: "/hold", Headers: []service.Header{
			{Name: standin.HeaderOperation, Value: id.String()},
		}},
	})
	s.recordf("hold %s at %s: %s %s, answer of %d bytes", id.Nonce, home.Self().Name, result.Outcome, result.Reason, len(answer.Body))
}

// queryOutcome queries an instance for the outcome of an operation.
func (s *session) queryOutcome(at *node, id operation.ID) {
	status := at.OperationStatus(s.ctx, id)
	s.recordf("outcome of %s asked at %s: %s %s (running %v)", id.Nonce, at.Self().Name, status.Outcome, status.Reason, status.Running)
}

// newOperationID returns an operation id as a caller makes it from an entry
// answer.
func (s *session) newOperationID(home, witness *node, nonce string) operation.ID {
	return operation.ID{
		Home: home.Self(), Witness: witness.Self(), Nonce: nonce,
		HomeExpiry: home.Uptime() + 2*time.Minute, WitnessExpiry: witness.Uptime() + 2*time.Minute,
	}
}

// recordf adds a line with the virtual time to the transcript.
func (s *session) recordf(format string, args ...any) {
	at := time.Since(s.started).Seconds()
	fmt.Fprintf(&s.text, "%9.3f  %s\n", at, fmt.Sprintf(format, args...))
}

// answerRecorder is a caller that records an answer.
type answerRecorder struct {
	text  strings.Builder
	token func(position int)
}

func (g *answerRecorder) Token(token engine.Token) error {
	g.text.WriteString(token.Text)
	if g.token != nil {
		g.token(token.Position)
	}
	return nil
}

// prompt returns a prompt of about the given number of tokens.
func prompt(tokens int) string { return strings.Repeat("file ", tokens*4/5) }

// sendModelRequest sends a model request to an instance and records the
// outcome.
func (s *session) sendModelRequest(ctx context.Context, home *node, text string, answer int, token func(int)) request.Result {
	sink := &answerRecorder{token: token}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(home.lifeline.Context(), cancel)()
	result := home.Runner.RunModel(ctx, request.Model{
		ID: home.NewRequestID(), Model: "dossier", Prompt: text, MaxTokens: answer,
	}, sink)
	received := "the right begin"
	if sink.text.String() == standin.Answer(text, answer) {
		received = "the whole right answer"
	} else if sink.text.String() != standin.Answer(text, result.Tokens) {
		received = "A WRONG ANSWER"
	}
	if home.lifeline.Context().Err() != nil {
		// The work and the answers of a dead instance reach no caller.
		s.recordf("model request at %s: connection lost after %d tokens, %s", home.Self().Name, result.Tokens, received)
		return result
	}
	s.recordf("model request at %s: %s %s, %d tokens, %s", home.Self().Name, result.Outcome, result.Reason, result.Tokens, received)
	s.recordSteps(home, result.RequestID)
	return result
}

// recordSteps records the steps that the instance traced for a request.
func (s *session) recordSteps(home *node, requestID string) {
	record := home.Traces.Find(requestID)
	if record == nil {
		s.recordf("no record")
		return
	}
	for _, step := range record.Steps {
		fmt.Fprintf(&s.text, "             +%8.3f ms  attempt %d  %s\n", float64(step.At)/1000, step.Attempt, stepLine(step))
	}
}

func stepLine(step trace.Step) string {
	words := []string{step.State}
	if step.Choice != nil {
		words = append(words, "choice by", step.Choice.Picker)
	}
	if step.Server != "" {
		words = append(words, step.Server)
	}
	if step.Reason != "" {
		words = append(words, string(step.Reason))
	}
	return strings.Join(words, " ")
}

// recordLedgers records what actually happened at the stand-ins.
func (s *session) recordLedgers() {
	for _, address := range []string{prefillAddress, decodeOne, decodeTwo} {
		e, err := s.farm.Load(s.ctx, address)
		if err != nil {
			s.recordf("engine %s: %v", address, err)
			continue
		}
		ledger := s.farm.Engine(address).Ledger()
		s.recordf("engine %s: %d prefills, %d imports, %d tokens, %d finished, %d cancelled, %d pieces held, wasted %v",
			address, ledger.Prefills, ledger.Imports, ledger.Tokens, ledger.Finished, ledger.Cancelled, len(e.Held), ledger.WastedTokens)
	}
	runs := s.plain.Runs()
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		nonce := name[strings.LastIndex(name, "~")+1:]
		s.recordf("plain call %s ran %d times", nonce, runs[name])
	}
}
