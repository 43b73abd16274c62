package instance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/standin"
)

// fault is one fault of a pair.
type fault struct {
	name   string
	inject func(*faultSession)
}

var faults = []fault{
	{"engine crashes", func(p *faultSession) { p.farm.Engine(decodeOne).Crash() }},
	{"prefill engine crashes", func(p *faultSession) { p.farm.Engine(prefillAddress).Crash() }},
	{"engine down", func(p *faultSession) { p.forTwoSeconds(p.farm.Engine(decodeOne).Faults.Down.Store) }},
	{"engine leaves", func(p *faultSession) { p.forTwoSeconds(p.farm.Engine(decodeOne).Faults.Draining.Store) }},
	{"transfer stalls", func(p *faultSession) { p.farm.Engine(decodeOne).Faults.StallImports.Add(2) }},
	{"stream breaks", func(p *faultSession) { p.farm.Engine(decodeOne).Faults.BreakStreams.Add(2) }},
	{"tokens repeat and mix", func(p *faultSession) {
		p.farm.Engine(decodeOne).Faults.RepeatTokens.Add(4)
		p.farm.Engine(decodeOne).Faults.ForeignTokens.Add(4)
	}},
	{"cancel replies lost", func(p *faultSession) { p.farm.Engine(decodeOne).Faults.LoseCancelReplies.Add(4) }},
	{"call answers lost", func(p *faultSession) { p.plain.LoseReplies.Add(2) }},
	{"calls refused", func(p *faultSession) { p.plain.Refuse.Add(2) }},
	{"log down", func(p *faultSession) { p.forTwoSeconds(p.log.Down.Store) }},
	{"callers leave", func(p *faultSession) { p.cancelCallers() }},
	{"home dies", func(p *faultSession) { p.killNode("sabana-1") }},
	{"home restarts", func(p *faultSession) { p.restartNode("sabana-1", "sabana") }},
	{"home freezes", func(p *faultSession) { p.freeze("sabana-1") }},
	{"witness dies", func(p *faultSession) { p.killNode("heredia-1") }},
	{"witness restarts", func(p *faultSession) { p.restartNode("heredia-1", "heredia") }},
	{"home and witness are parted", func(p *faultSession) {
		p.network.Cut("10.1.0.1:1 sabana-1", "10.1.0.1:1 heredia-1", true)
		time.AfterFunc(3*time.Second, func() { p.network.Cut("10.1.0.1:1 sabana-1", "10.1.0.1:1 heredia-1", false) })
	}},
}

// faultSession is a session in which two faults are injected while calls and
// model requests are in progress.
type faultSession struct {
	*session
	mu            sync.Mutex
	home          *node
	bystander     *node
	callers       context.Context
	cancelCallers context.CancelFunc
	// outcomes holds the last outcome that the caller of each operation
	// received.
	outcomes   map[string]reason.Outcome
	violations []string
	active     sync.WaitGroup
}

func (p *faultSession) forTwoSeconds(set func(bool)) {
	set(true)
	time.AfterFunc(2*time.Second, func() { set(false) })
}

func (p *faultSession) killNode(name string) {
	if _, runs := p.nodes[name]; runs {
		p.killAndUnlist(name)
	}
}

func (p *faultSession) restartNode(name, zone string) {
	if n, runs := p.nodes[name]; runs {
		n.stop()
	}
	p.start(name, zone)
}

func (p *faultSession) freeze(name string) {
	if n, runs := p.nodes[name]; runs {
		n.lifeline.Pause()
		time.AfterFunc(4*time.Second, n.lifeline.Resume)
	}
}

// startCall sends a call with an operation id to the home. Until its outcome is
// certain, the caller queries the witness and a third instance in turn.
func (p *faultSession) startCall(nonce string, witness *node) {
	id := p.newOperationID(p.home, witness, nonce)
	p.active.Go(func() {
		_, result := p.home.Runner.RunPlain(p.ctx, request.Plain{
			ID: p.home.NewRequestID(), Service: "plate-desk", Operation: &id,
			Call: service.Call{Method: "POST", Path: "/hold", Headers: []service.Header{
				{Name: standin.HeaderOperation, Value: id.String()},
			}},
		})
		// An answer of a dead home reaches no caller.
		if p.home.lifeline.Context().Err() == nil {
			p.recordOutcome(id, result.Outcome)
		}
	})
	p.active.Go(func() {
		for n := range 12 {
			time.Sleep(time.Duration(50+100*n) * time.Millisecond)
			queried := p.bystander
			if n%2 == 0 && witness.lifeline.Context().Err() == nil {
				p.recordOutcome(id, witness.WitnessStatus(id).Outcome)
				continue
			}
			p.recordOutcome(id, queried.OperationStatus(p.ctx, id).Outcome)
		}
	})
}

// recordOutcome records an outcome that a caller received. After "not run" or
// "done" no other outcome may follow.
func (p *faultSession) recordOutcome(id operation.ID, outcome reason.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.outcomes[id.String()]
	if before != "" && before != reason.Unknown && outcome != reason.Unknown && outcome != before {
		p.violations = append(p.violations, fmt.Sprintf("the outcome of %s was reported as %s, then as %s", id.Nonce, before, outcome))
	}
	if outcome != reason.Unknown || before == "" {
		p.outcomes[id.String()] = outcome
	}
}

func (p *faultSession) startModelRequest(tokens int) {
	home := p.home
	p.active.Go(func() {
		sink := &answerRecorder{}
		text := prompt(2400) + fmt.Sprint(tokens)
		result := home.Runner.RunModel(p.callers, request.Model{
			ID: home.NewRequestID(), Model: "dossier", Prompt: text, MaxTokens: tokens,
		}, sink)
		if sink.text.String() != standin.Answer(text, result.Tokens) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.violations = append(p.violations, "a caller received a wrong answer")
		}
	})
}

// check compares the outcomes that callers received with the ledgers of the
// stand-ins.
func (p *faultSession) check() []string {
	violations := p.violations
	runs := p.plain.Runs()
	for id, outcome := range p.outcomes {
		switch {
		case runs[id] > 1:
			violations = append(violations, fmt.Sprintf("a call ran %d times", runs[id]))
		case outcome == reason.NotRun && runs[id] > 0:
			violations = append(violations, "a call was reported as not run but ran")
		case outcome == reason.Done && runs[id] == 0:
			violations = append(violations, "a call was reported as done but did not run")
		}
	}
	for _, address := range []string{decodeOne, decodeTwo} {
		if held := p.farm.Engine(address).Ledger().HeldRequests; len(held) > 0 {
			violations = append(violations, fmt.Sprintf("%s still holds %v", address, held))
		}
	}
	return violations
}

// goroutinesPerPair is about how many goroutines one session uses: eight
// sessions at a time had 348.
const goroutinesPerPair = 45

// maxConcurrentPairs bounds how many pairs run at a time.
func maxConcurrentPairs() int {
	if racedetector.Enabled {
		return racedetector.MaxGoroutines / goroutinesPerPair
	}
	return len(faults)
}

// TestFaultPairs injects every ordered pair of faults, including each fault
// twice, at two intervals.
func TestFaultPairs(t *testing.T) {
	slots := make(chan struct{}, maxConcurrentPairs())
	for _, first := range faults {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			for _, second := range faults {
				checkFaultPair(t, first, second, 0)
				checkFaultPair(t, first, second, 700*time.Millisecond)
			}
		})
	}
}

func checkFaultPair(t *testing.T, first, second fault, interval time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		for _, violation := range runFaultPair(t, first, second, interval) {
			t.Errorf("%s, then %s after %s: %s", first.name, second.name, interval, violation)
		}
	})
}

// longAnswerTokens is the length of an answer that only a cancel ends before
// the check. An engine takes about 95 s for it.
const longAnswerTokens = 5000

func runFaultPair(t *testing.T, first, second fault, interval time.Duration) []string {
	p := &faultSession{session: newSession(t), outcomes: make(map[string]reason.Outcome)}
	p.callers, p.cancelCallers = context.WithCancel(p.ctx)
	p.home = p.start("sabana-1", "sabana")
	witness := p.start("heredia-1", "heredia")
	p.bystander = p.start("cartago-1", "cartago")
	time.Sleep(3 * time.Second)
	p.startModelRequest(longAnswerTokens)
	p.startModelRequest(30)
	p.startCall("early", witness)
	time.Sleep(131 * time.Millisecond)
	p.startModelRequest(25)
	first.inject(p)
	p.startCall("middle", witness)
	time.Sleep(interval)
	second.inject(p)
	p.startCall("late", witness)
	time.Sleep(5 * time.Second)
	p.cancelCallers()
	p.active.Wait()
	time.Sleep(30 * time.Second)
	violations := p.check()
	for _, n := range p.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
	return violations
}
