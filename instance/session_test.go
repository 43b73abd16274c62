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

// session is a whole small system in memory on a virtual clock. What happens
// in it goes into a transcript, which a golden file holds.
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
	line *standin.Lifeline
	port *standin.Port
	log  *partedLog
	late *lateOrders
	done chan struct{}
}

// partedLog is the log as one instance reaches it.
type partedLog struct {
	oplog.Client
	cut atomic.Bool
}

func (l *partedLog) Read(ctx context.Context, from uint64, most int) (oplog.Batch, error) {
	if l.cut.Load() {
		return oplog.Batch{}, oplog.ErrUnavailable
	}
	return l.Client.Read(ctx, from, most)
}

// cutOffLog keeps the instance from reading the log any more.
func (n *node) cutOffLog() { n.log.cut.Store(true) }

const (
	prefillAddress = standin.SamplePrefill
	decodeOne      = standin.SampleDecodeOne
	decodeTwo      = standin.SampleDecodeTwo
)

// play runs a session with two instances and compares its transcript with the
// golden file of the test's name.
func play(t *testing.T, script func(*session)) {
	t.Helper()
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t)
		s.start("sabana-1", "sabana")
		s.start("heredia-1", "heredia")
		time.Sleep(3 * time.Second)
		script(s)
		time.Sleep(10 * time.Second)
		s.ledgers()
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
		s.say("append of %s: %v", edit.ID, err)
	}
}

// start brings an instance up, or a new run of it.
func (s *session) start(name, zone string) *node {
	address := "10.1.0.1:1 " + name
	port := s.network.Port(address)
	config := instance.DefaultRegion()
	config.Name, config.Zone, config.Caller, config.Peer = name, zone, name+":80", address
	random := rand.New(rand.NewPCG(1, uint64(len(name))))
	n := &node{line: standin.NewLifeline(), port: port, log: &partedLog{Client: s.log}, done: make(chan struct{})}
	n.late = &lateOrders{Client: s.farm}
	n.Instance = instance.New(config, instance.Deps{
		Engines: n.line.Engines(n.late), Services: n.line.Services(s.plain),
		Log: n.line.Log(n.log), List: n.line.List(s.list), Peers: n.line.Peers(port), Weights: s.weights,
		Random: standin.LockedRandom(random),
	})
	s.nodes[name] = n
	s.list.Set(instancelist.Entry{Name: name, Zone: zone, Peer: address, State: instancelist.Live})
	go func() {
		defer close(n.done)
		n.Run(n.line.Context())
	}()
	return n
}

// stop kills the instance at once.
func (n *node) stop() {
	n.line.Kill()
	n.port.Close()
	<-n.done
}

// lose kills an instance, and the list no longer shows it.
func (s *session) lose(name string) {
	s.nodes[name].stop()
	delete(s.nodes, name)
	s.list.Remove(name)
	s.say("instance %s is lost", name)
}

// hold sends a non-idempotent call with an operation id to the instance that
// id names, and says how it went.
func (s *session) hold(home *node, id operation.ID) { s.holdUntil(s.ctx, home, id) }

// holdUntil is hold by a caller that goes away when ctx ends.
func (s *session) holdUntil(ctx context.Context, home *node, id operation.ID) {
	answer, result := home.Runner.RunPlain(ctx, request.Plain{
		ID: home.NewRequestID(), Service: "plate-desk", Operation: &id,
		Call: service.Call{Method: "POST", Path: "/hold", Headers: []service.Header{
			{Name: standin.HeaderOperation, Value: id.String()},
		}},
	})
	s.say("hold %s at %s: %s %s, answer of %d bytes", id.Nonce, home.Self().Name, result.Outcome, result.Reason, len(answer.Body))
}

// askOutcome asks an instance what became of an operation.
func (s *session) askOutcome(at *node, id operation.ID) {
	status := at.AskOperation(s.ctx, id)
	s.say("outcome of %s asked at %s: %s %s (running %v)", id.Nonce, at.Self().Name, status.Outcome, status.Reason, status.Running)
}

// newID makes an operation id as a caller does from an entry answer.
func (s *session) newID(home, witness *node, nonce string) operation.ID {
	return operation.ID{
		Home: home.Self(), Witness: witness.Self(), Nonce: nonce,
		HomeExpiry: home.Uptime() + 2*time.Minute, WitnessExpiry: witness.Uptime() + 2*time.Minute,
	}
}

// say adds a line with the virtual time to the transcript.
func (s *session) say(format string, args ...any) {
	at := time.Since(s.started).Seconds()
	fmt.Fprintf(&s.text, "%9.3f  %s\n", at, fmt.Sprintf(format, args...))
}

// gatherer is a caller that gathers an answer.
type gatherer struct {
	text  strings.Builder
	token func(position int)
}

func (g *gatherer) Token(token engine.Token) error {
	g.text.WriteString(token.Text)
	if g.token != nil {
		g.token(token.Position)
	}
	return nil
}

// prompt makes a prompt of about that many tokens.
func prompt(tokens int) string { return strings.Repeat("file ", tokens*4/5) }

// ask sends a model request to an instance and says how it went.
func (s *session) ask(ctx context.Context, home *node, text string, answer int, token func(int)) request.Result {
	sink := &gatherer{token: token}
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	defer context.AfterFunc(home.line.Context(), cut)()
	result := home.Runner.RunModel(ctx, request.Model{
		ID: home.NewRequestID(), Model: "dossier", Prompt: text, MaxTokens: answer,
	}, sink)
	whole := "the right begin"
	if sink.text.String() == standin.Answer(text, answer) {
		whole = "the whole right answer"
	} else if sink.text.String() != standin.Answer(text, result.Tokens) {
		whole = "A WRONG ANSWER"
	}
	if home.line.Context().Err() != nil {
		// What a dead instance does and says reaches nobody.
		s.say("model request at %s: connection lost after %d tokens, %s", home.Self().Name, result.Tokens, whole)
		return result
	}
	s.say("model request at %s: %s %s, %d tokens, %s", home.Self().Name, result.Outcome, result.Reason, result.Tokens, whole)
	s.steps(home, result.RequestID)
	return result
}

// steps writes what the instance noted of a request.
func (s *session) steps(home *node, requestID string) {
	record := home.Traces.Find(requestID)
	if record == nil {
		s.say("no record")
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

// ledgers writes what really happened at the stand-ins.
func (s *session) ledgers() {
	for _, address := range []string{prefillAddress, decodeOne, decodeTwo} {
		e, err := s.farm.Load(s.ctx, address)
		if err != nil {
			s.say("engine %s: %v", address, err)
			continue
		}
		ledger := s.farm.Engine(address).Ledger()
		s.say("engine %s: %d prefills, %d imports, %d tokens, %d finished, %d cancelled, %d pieces held, wasted %v",
			address, ledger.Prefills, ledger.Imports, ledger.Tokens, ledger.Finished, ledger.Cancelled, len(e.Held), ledger.WastedTokens)
	}
	runs := s.plain.Runs()
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		nonce := name[strings.LastIndex(name, "~")+1:]
		s.say("plain call %s ran %d times", nonce, runs[name])
	}
}
