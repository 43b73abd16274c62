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

// trouble is one fault of a pair.
type trouble struct {
	name   string
	strike func(*pairSession)
}

var troubles = []trouble{
	{"engine crashes", func(p *pairSession) { p.farm.Engine(decodeOne).Crash() }},
	{"prefill engine crashes", func(p *pairSession) { p.farm.Engine(prefillAddress).Crash() }},
	{"engine down", func(p *pairSession) { p.forAWhile(p.farm.Engine(decodeOne).Faults.Down.Store) }},
	{"engine leaves", func(p *pairSession) { p.forAWhile(p.farm.Engine(decodeOne).Faults.Leaving.Store) }},
	{"transfer stalls", func(p *pairSession) { p.farm.Engine(decodeOne).Faults.StallImports.Add(2) }},
	{"stream breaks", func(p *pairSession) { p.farm.Engine(decodeOne).Faults.BreakStreams.Add(2) }},
	{"tokens repeat and mix", func(p *pairSession) {
		p.farm.Engine(decodeOne).Faults.RepeatTokens.Add(4)
		p.farm.Engine(decodeOne).Faults.ForeignTokens.Add(4)
	}},
	{"cancel replies lost", func(p *pairSession) { p.farm.Engine(decodeOne).Faults.LoseCancelReplies.Add(4) }},
	{"call answers lost", func(p *pairSession) { p.plain.LoseReplies.Add(2) }},
	{"calls refused", func(p *pairSession) { p.plain.Refuse.Add(2) }},
	{"log down", func(p *pairSession) { p.forAWhile(p.log.Down.Store) }},
	{"callers leave", func(p *pairSession) { p.leave() }},
	{"home dies", func(p *pairSession) { p.loseNode("sabana-1") }},
	{"home restarts", func(p *pairSession) { p.restartNode("sabana-1", "sabana") }},
	{"home freezes", func(p *pairSession) { p.freeze("sabana-1") }},
	{"witness dies", func(p *pairSession) { p.loseNode("heredia-1") }},
	{"witness restarts", func(p *pairSession) { p.restartNode("heredia-1", "heredia") }},
	{"home and witness are parted", func(p *pairSession) {
		p.network.Cut("10.1.0.1:1 sabana-1", "10.1.0.1:1 heredia-1", true)
		time.AfterFunc(3*time.Second, func() { p.network.Cut("10.1.0.1:1 sabana-1", "10.1.0.1:1 heredia-1", false) })
	}},
}

// pairSession is a session in which two faults strike while calls and model
// requests are under way.
type pairSession struct {
	*session
	mu      sync.Mutex
	home    *node
	third   *node
	callers context.Context
	leave   context.CancelFunc
	// told is the last outcome that the caller of an operation was told.
	told   map[string]reason.Outcome
	wrong  []string
	active sync.WaitGroup
}

func (p *pairSession) forAWhile(set func(bool)) {
	set(true)
	time.AfterFunc(2*time.Second, func() { set(false) })
}

func (p *pairSession) loseNode(name string) {
	if _, runs := p.nodes[name]; runs {
		p.lose(name)
	}
}

func (p *pairSession) restartNode(name, zone string) {
	if n, runs := p.nodes[name]; runs {
		n.stop()
	}
	p.start(name, zone)
}

func (p *pairSession) freeze(name string) {
	if n, runs := p.nodes[name]; runs {
		n.line.Pause()
		time.AfterFunc(4*time.Second, n.line.Resume)
	}
}

// call sends a hold to the home; its caller, when told nothing certain, asks
// the witness and then whoever lives.
func (p *pairSession) call(nonce string, witness *node) {
	id := p.newID(p.home, witness, nonce)
	p.active.Go(func() {
		_, result := p.home.Runner.RunPlain(p.ctx, request.Plain{
			ID: p.home.NewRequestID(), Service: "plate-desk", Operation: &id,
			Call: service.Call{Method: "POST", Path: "/hold", Headers: []service.Header{
				{Name: standin.HeaderOperation, Value: id.String()},
			}},
		})
		// What a dead home says reaches nobody.
		if p.home.line.Context().Err() == nil {
			p.tell(id, result.Outcome)
		}
	})
	p.active.Go(func() {
		for n := range 12 {
			time.Sleep(time.Duration(50+100*n) * time.Millisecond)
			asked := p.third
			if n%2 == 0 && witness.line.Context().Err() == nil {
				p.tell(id, witness.Witnessed(id).Outcome)
				continue
			}
			p.tell(id, asked.AskOperation(p.ctx, id).Outcome)
		}
	})
}

// tell notes an outcome; once told "not run" or "done", no other may follow.
func (p *pairSession) tell(id operation.ID, outcome reason.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.told[id.String()]
	if before != "" && before != reason.Unknown && outcome != reason.Unknown && outcome != before {
		p.wrong = append(p.wrong, fmt.Sprintf("%s was told %s, then %s", id.Nonce, before, outcome))
	}
	if outcome != reason.Unknown || before == "" {
		p.told[id.String()] = outcome
	}
}

func (p *pairSession) model(tokens int) {
	home := p.home
	p.active.Go(func() {
		sink := &gatherer{}
		text := prompt(2400) + fmt.Sprint(tokens)
		result := home.Runner.RunModel(p.callers, request.Model{
			ID: home.NewRequestID(), Model: "dossier", Prompt: text, MaxTokens: tokens,
		}, sink)
		if sink.text.String() != standin.Answer(text, result.Tokens) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.wrong = append(p.wrong, "a caller received a wrong answer")
		}
	})
}

// check compares what callers were told with the stand-ins' ledgers.
func (p *pairSession) check() []string {
	wrong := p.wrong
	runs := p.plain.Runs()
	for id, outcome := range p.told {
		switch {
		case runs[id] > 1:
			wrong = append(wrong, fmt.Sprintf("a call ran %d times", runs[id]))
		case outcome == reason.NotRun && runs[id] > 0:
			wrong = append(wrong, "a call was told not run and ran")
		case outcome == reason.Done && runs[id] == 0:
			wrong = append(wrong, "a call was told done and did not run")
		}
	}
	for _, address := range []string{decodeOne, decodeTwo} {
		if held := p.farm.Engine(address).Ledger().HeldRequests; len(held) > 0 {
			wrong = append(wrong, fmt.Sprintf("%s still holds %v", address, held))
		}
	}
	return wrong
}

// goroutinesOfPair is about how many a pair's session has: eight at a time had 348.
const goroutinesOfPair = 45

// pairsAtATime bounds how many pairs are played at a time.
func pairsAtATime() int {
	if racedetector.On {
		return racedetector.MostGoroutines / goroutinesOfPair
	}
	return len(troubles)
}

// TestPairsOfTroubles strikes with every ordered pair of faults, one twice
// included, at two distances.
func TestPairsOfTroubles(t *testing.T) {
	places := make(chan struct{}, pairsAtATime())
	for _, first := range troubles {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			for _, second := range troubles {
				playApart(t, first, second, 0)
				playApart(t, first, second, 700*time.Millisecond)
			}
		})
	}
}

func playApart(t *testing.T, first, second trouble, apart time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		for _, wrong := range playPair(t, first, second, apart) {
			t.Errorf("%s, then %s after %s: %s", first.name, second.name, apart, wrong)
		}
	})
}

// lastsLonger is an answer, in tokens, that only a cancel ends before the
// check: an engine takes about 95 s for it.
const lastsLonger = 5000

func playPair(t *testing.T, first, second trouble, apart time.Duration) []string {
	p := &pairSession{session: newSession(t), told: make(map[string]reason.Outcome)}
	p.callers, p.leave = context.WithCancel(p.ctx)
	p.home = p.start("sabana-1", "sabana")
	witness := p.start("heredia-1", "heredia")
	p.third = p.start("cartago-1", "cartago")
	time.Sleep(3 * time.Second)
	p.model(lastsLonger)
	p.model(30)
	p.call("early", witness)
	time.Sleep(131 * time.Millisecond)
	p.model(25)
	first.strike(p)
	p.call("middle", witness)
	time.Sleep(apart)
	second.strike(p)
	p.call("late", witness)
	time.Sleep(5 * time.Second)
	p.leave()
	p.active.Wait()
	time.Sleep(30 * time.Second)
	wrong := p.check()
	for _, n := range p.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
	return wrong
}
