package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// A bounded search of every order in which candidates read, claim and start again, claims
// are carried out or lost, time passes, and the store comes back from an older copy. It
// plays the candidates' own code against a small model of the store and of an engine.

// modelConfig has small times, so that a few steps see a claim run out.
var modelConfig = Config{TTL: 2 * time.Second, RenewEvery: time.Second, Margin: time.Second}

// modelBounds limit the search.
type modelBounds struct {
	candidates, depth, drills, restarts, flights int
}

// modelStep is the unit of time, and modelCopyAge how many of them the oldest copy is old
// that the store comes back from.
const (
	modelStep    = time.Second
	modelCopyAge = 2
	modelSettled = 10 // steps after which no difference of time matters
)

// protections are the rules that the search may play without, to show what each is for.
type protections struct {
	// era has a lease's state tell the era of the store, and tokens hold the era of
	// their offset.
	era, tokens bool
	// conditions has a claim carried out only where the log ends as its sender saw.
	conditions bool
}

var allProtections = protections{era: true, tokens: true, conditions: true}

// storedClaim is the last claim in the store, with the offset behind it, which is where
// the log ends.
type storedClaim struct {
	claim Claim
	end   uint64
}

// claimUnderWay was sent by one candidate's run and may be carried out at any time.
type claimUnderWay struct {
	claim Claim
	end   uint64
}

// modelCandidate is one instance with its part in the lease.
type modelCandidate struct {
	*Candidate
	run int
	// end is where the log ended when it was read last; read is false before.
	end  uint64
	read bool
}

// world is one state of the search.
type world struct {
	rules      protections
	now        time.Time
	era        uint64
	stored     storedClaim
	copies     []storedClaim // of the last steps, the youngest first
	underWay   []claimUnderWay
	candidates []modelCandidate
	drills     int
	restarts   int
	// highest is the highest token that the engine saw, and by whom.
	highest uint64
	holder  string
}

// newWorld is a moment after the first candidate's claim was carried out, which a copy of
// the store may lack; nobody has read it yet.
func newWorld(bounds modelBounds, rules protections) *world {
	w := &world{rules: rules, now: time.Unix(1000, 0), era: 1, drills: bounds.drills, restarts: bounds.restarts}
	for i := range bounds.candidates {
		w.candidates = append(w.candidates, newModelCandidate(i, 0, w.now))
		w.observe(i)
	}
	first := w.candidates[0]
	first.sent[1] = sentClaim{at: w.now, era: w.state().Era}
	first.last, first.serial = w.now, 1
	w.copies = []storedClaim{{}}
	w.stored = storedClaim{claim: Claim{Key: "k", Holder: first.self, Serial: 1}, end: 1}
	return w
}

func newModelCandidate(number, run int, now time.Time) modelCandidate {
	name := fmt.Sprintf("%c%d", 'a'+number, run)
	return modelCandidate{Candidate: NewCandidate(modelConfig, "k", name, now), run: run}
}

func (w *world) clone() *world {
	next := *w
	next.copies = slices.Clone(w.copies)
	next.underWay = slices.Clone(w.underWay)
	next.candidates = slices.Clone(w.candidates)
	for i := range next.candidates {
		candidate := *w.candidates[i].Candidate
		candidate.sent = maps.Clone(candidate.sent)
		next.candidates[i].Candidate = &candidate
	}
	return &next
}

// state is what a candidate reads.
func (w *world) state() State {
	state := State{Holder: w.stored.claim.Holder, Serial: w.stored.claim.Serial}
	if w.stored.end > 0 {
		state.Token = w.stored.end
		if w.rules.tokens {
			state.Token |= w.era << 40
		}
	}
	if w.rules.era {
		state.Era = w.era
	}
	return state
}

// observe has a candidate read the store.
func (w *world) observe(i int) {
	candidate := &w.candidates[i]
	candidate.Observe(w.state(), w.now)
	candidate.end, candidate.read = w.stored.end, true
}

// carryOut has a claim reach the store. The store compares offsets and knows no eras.
func (w *world) carryOut(i int) {
	sent := w.underWay[i]
	w.underWay = slices.Delete(w.underWay, i, i+1)
	if w.rules.conditions && sent.end != w.stored.end {
		return
	}
	w.stored = storedClaim{claim: sent.claim, end: w.stored.end + 1}
}

func (w *world) tick() {
	w.now = w.now.Add(modelStep)
	w.copies = append([]storedClaim{w.stored}, w.copies...)
	w.copies = w.copies[:min(len(w.copies), modelCopyAge)]
}

// drill has the store come back from a copy.
func (w *world) drill(i int) {
	w.drills--
	w.era++
	w.stored = w.copies[i]
	w.copies = nil
}

// broken takes in what the engine sees, and says which invariant does not hold.
func (w *world) broken() string {
	valid := 0
	for i := range w.candidates {
		token, ok := w.candidates[i].Valid(w.now)
		if !ok {
			continue
		}
		valid++
		name := w.candidates[i].self
		if token == w.highest && name != w.holder {
			return "two holders with the same token"
		}
		if token < w.highest {
			return "a token that fell"
		}
		w.highest, w.holder = token, name
	}
	if valid > 1 {
		return "two holders at once"
	}
	return ""
}

// step is one successor of a state.
type step struct {
	name string
	next *world
}

func (w *world) steps(bounds modelBounds) []step {
	var all []step
	add := func(name string, change func(next *world)) {
		next := w.clone()
		change(next)
		all = append(all, step{name, next})
	}
	add("tick", (*world).tick)
	for i, candidate := range w.candidates {
		name := candidate.self
		add(name+" reads", func(next *world) { next.observe(i) })
		if candidate.read && len(w.underWay) < bounds.flights {
			next := w.clone()
			claim, due := next.candidates[i].Next(w.now, true)
			if due {
				next.underWay = append(next.underWay, claimUnderWay{claim: claim, end: candidate.end})
				all = append(all, step{name + " claims", next})
			}
		}
		if w.restarts > 0 {
			add(name+" starts again", func(next *world) {
				next.restarts--
				next.candidates[i] = newModelCandidate(i, candidate.run+1, next.now)
			})
		}
	}
	for i, sent := range w.underWay {
		add("claim of "+sent.claim.Holder+" is carried out", func(next *world) { next.carryOut(i) })
		add("claim of "+sent.claim.Holder+" is lost", func(next *world) { next.underWay = slices.Delete(next.underWay, i, i+1) })
	}
	if w.drills > 0 {
		for i := range w.copies {
			add(fmt.Sprintf("store comes back from copy %d", i), func(next *world) { next.drill(i) })
		}
	}
	return all
}

// key names a state, but for when it is.
func (w *world) key() string {
	ago := func(at time.Time) int {
		if at.IsZero() {
			return -modelSettled
		}
		return int(min(max(w.now.Sub(at)/modelStep, -modelSettled), modelSettled))
	}
	var key strings.Builder
	fmt.Fprint(&key, w.era, w.stored, w.copies, w.underWay, w.drills, w.restarts, w.highest, w.holder)
	for _, c := range w.candidates {
		fmt.Fprint(&key, "|", c.self, c.end, c.read, c.state, ago(c.seen), ago(c.last), c.serial, ago(c.until), ago(c.renewed))
		for _, serial := range slices.Sorted(maps.Keys(c.sent)) {
			fmt.Fprint(&key, " ", serial, ago(c.sent[serial].at), c.sent[serial].era)
		}
	}
	return key.String()
}

// search plays all orders of steps up to the bounds, breadth first; it returns how many
// states there are, and the shortest way to one that breaks an invariant.
func search(bounds modelBounds, rules protections) (states int, broken string, way []string) {
	type visit struct {
		world  *world
		before int
		step   string
	}
	first := newWorld(bounds, rules)
	seen := map[string]bool{first.key(): true}
	visits := []visit{{world: first, before: -1}}
	begin := 0
	for range bounds.depth {
		end := len(visits)
		for at := begin; at < end; at++ {
			for _, step := range visits[at].world.steps(bounds) {
				broken = step.next.broken()
				key := step.next.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				visits = append(visits, visit{world: step.next, before: at, step: step.name})
				if broken == "" {
					continue
				}
				for i := len(visits) - 1; i > 0; i = visits[i].before {
					way = append(way, visits[i].step)
				}
				slices.Reverse(way)
				return len(seen), broken, way
			}
			visits[at].world = nil
		}
		begin = end
	}
	return len(seen), "", nil
}

// Whatever comes in which order, no two candidates hold the lease at once, tokens never
// fall, and no two holders have the same one.
func TestEveryOrderOfStepsKeepsTheLease(t *testing.T) {
	for _, bounds := range []modelBounds{
		{candidates: 2, depth: 12, drills: 1, restarts: 0, flights: 2},
		{candidates: 2, depth: 10, drills: 2, restarts: 1, flights: 2},
		{candidates: 3, depth: 9, drills: 1, restarts: 0, flights: 2},
	} {
		if racedetector.On {
			// One goroutine plays it all; CI plays the whole depth without the detector.
			bounds.depth -= 3
		}
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			states, broken, way := search(bounds, allProtections)
			t.Logf("%d states", states)
			if broken != "" {
				t.Errorf("%s: %s", broken, strings.Join(way, ", "))
			}
		})
	}
}

// Without any one of the protections the search finds an order that breaks an invariant.
func TestEachProtectionOfTheLeaseIsNeeded(t *testing.T) {
	bounds := modelBounds{candidates: 2, depth: 14, drills: 1, restarts: 1, flights: 2}
	for name, without := range map[string]func(*protections){
		"the era in the state": func(p *protections) { p.era = false },
		"the era in tokens":    func(p *protections) { p.tokens = false },
		"conditions":           func(p *protections) { p.conditions = false },
	} {
		t.Run(name, func(t *testing.T) {
			rules := allProtections
			without(&rules)
			states, broken, way := search(bounds, rules)
			if broken == "" {
				t.Fatalf("nothing is broken in %d states", states)
			}
			t.Logf("%d states; %s: %s", states, broken, strings.Join(way, ", "))
		})
	}
}
