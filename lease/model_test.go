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

// A bounded search of every order in which candidates read, claim and restart, claims
// are appended or lost, time passes, and the store is restored from an older copy. It
// runs the candidates' own code against a small model of the store and of an engine.

// modelConfig has short durations, so that a claim expires within a few steps.
var modelConfig = Config{TTL: 2 * time.Second, RenewEvery: time.Second, Margin: time.Second}

// modelBounds limits the search.
type modelBounds struct {
	candidates, depth, restores, restarts, inFlight int
}

// modelStep is the unit of time. modelCopyAge is the age, in steps, of the oldest
// copy from which the store is restored.
const (
	modelStep        = time.Second
	modelCopyAge     = 2
	modelTimeHorizon = 10 // steps beyond which time differences count as equal
)

// protections are the rules that the search can switch off, to show what each is
// needed for.
type protections struct {
	// era adds the era of the store (it increases by one each time the store is
	// restored from an older copy) to a lease's state. tokens adds the era of their
	// offset to tokens.
	era, tokens bool
	// conditions requires that a claim is appended only if the log ends where its
	// sender saw the end.
	conditions bool
}

var allProtections = protections{era: true, tokens: true, conditions: true}

// storeLog is the last claim in the store, with the offset behind it, which is the
// end of the log.
type storeLog struct {
	claim Claim
	end   uint64
}

// inFlightClaim was sent by one run of a candidate and may be appended at any time.
type inFlightClaim struct {
	claim Claim
	end   uint64
}

// modelCandidate is one instance that takes part in the lease.
type modelCandidate struct {
	*Candidate
	run int
	// end is the end of the log at the last read. read is false before the first.
	end  uint64
	read bool
}

// modelState is one state of the search.
type modelState struct {
	rules      protections
	now        time.Time
	era        uint64
	stored     storeLog
	copies     []storeLog // one per past step, newest first
	inFlight   []inFlightClaim
	candidates []modelCandidate
	restores   int
	restarts   int
	// highest is the highest token that the engine has received, and holder is its
	// sender.
	highest uint64
	holder  string
}

// newModelState returns the state after the first candidate's claim was appended. A
// copy of the store may lack that claim, and no candidate has read it yet.
func newModelState(bounds modelBounds, rules protections) *modelState {
	w := &modelState{rules: rules, now: time.Unix(1000, 0), era: 1, restores: bounds.restores, restarts: bounds.restarts}
	for i := range bounds.candidates {
		w.candidates = append(w.candidates, newModelCandidate(i, 0, w.now))
		w.observe(i)
	}
	first := w.candidates[0]
	first.pending[1] = pendingClaim{at: w.now, era: w.state().Era}
	first.lastSent, first.serial = w.now, 1
	w.copies = []storeLog{{}}
	w.stored = storeLog{claim: Claim{Key: "k", Holder: first.self, Serial: 1}, end: 1}
	return w
}

func newModelCandidate(number, run int, now time.Time) modelCandidate {
	name := fmt.Sprintf("%c%d", 'a'+number, run)
	return modelCandidate{Candidate: NewCandidate(modelConfig, "k", name, now), run: run}
}

func (w *modelState) clone() *modelState {
	next := *w
	next.copies = slices.Clone(w.copies)
	next.inFlight = slices.Clone(w.inFlight)
	next.candidates = slices.Clone(w.candidates)
	for i := range next.candidates {
		candidate := *w.candidates[i].Candidate
		candidate.pending = maps.Clone(candidate.pending)
		next.candidates[i].Candidate = &candidate
	}
	return &next
}

// state returns what a candidate reads.
func (w *modelState) state() State {
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

// observe lets a candidate read the store.
func (w *modelState) observe(i int) {
	candidate := &w.candidates[i]
	candidate.Observe(w.state(), w.now)
	candidate.end, candidate.read = w.stored.end, true
}

// deliver appends a claim to the store. The store compares offsets and knows no eras.
func (w *modelState) deliver(i int) {
	sent := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if w.rules.conditions && sent.end != w.stored.end {
		return
	}
	w.stored = storeLog{claim: sent.claim, end: w.stored.end + 1}
}

func (w *modelState) tick() {
	w.now = w.now.Add(modelStep)
	w.copies = append([]storeLog{w.stored}, w.copies...)
	w.copies = w.copies[:min(len(w.copies), modelCopyAge)]
}

// restore restores the store from a copy.
func (w *modelState) restore(i int) {
	w.restores--
	w.era++
	w.stored = w.copies[i]
	w.copies = nil
}

// violation applies what the engine receives, and returns the invariant that does not
// hold.
func (w *modelState) violation() string {
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
			return "a token decreased"
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
	next *modelState
}

func (w *modelState) steps(bounds modelBounds) []step {
	var all []step
	add := func(name string, change func(next *modelState)) {
		next := w.clone()
		change(next)
		all = append(all, step{name, next})
	}
	add("tick", (*modelState).tick)
	for i, candidate := range w.candidates {
		name := candidate.self
		add(name+" reads", func(next *modelState) { next.observe(i) })
		if candidate.read && len(w.inFlight) < bounds.inFlight {
			next := w.clone()
			claim, due := next.candidates[i].Next(w.now, true)
			if due {
				next.inFlight = append(next.inFlight, inFlightClaim{claim: claim, end: candidate.end})
				all = append(all, step{name + " claims", next})
			}
		}
		if w.restarts > 0 {
			add(name+" restarts", func(next *modelState) {
				next.restarts--
				next.candidates[i] = newModelCandidate(i, candidate.run+1, next.now)
			})
		}
	}
	for i, sent := range w.inFlight {
		add("claim of "+sent.claim.Holder+" is appended", func(next *modelState) { next.deliver(i) })
		add("claim of "+sent.claim.Holder+" is lost", func(next *modelState) { next.inFlight = slices.Delete(next.inFlight, i, i+1) })
	}
	if w.restores > 0 {
		for i := range w.copies {
			add(fmt.Sprintf("store is restored from copy %d", i), func(next *modelState) { next.restore(i) })
		}
	}
	return all
}

// key identifies a state regardless of its absolute time.
func (w *modelState) key() string {
	ago := func(at time.Time) int {
		if at.IsZero() {
			return -modelTimeHorizon
		}
		return int(min(max(w.now.Sub(at)/modelStep, -modelTimeHorizon), modelTimeHorizon))
	}
	var key strings.Builder
	fmt.Fprint(&key, w.era, w.stored, w.copies, w.inFlight, w.restores, w.restarts, w.highest, w.holder)
	for _, c := range w.candidates {
		fmt.Fprint(&key, "|", c.self, c.end, c.read, c.state, ago(c.changedAt), ago(c.lastSent), c.serial, ago(c.validUntil), ago(c.claimSent))
		for _, serial := range slices.Sorted(maps.Keys(c.pending)) {
			fmt.Fprint(&key, " ", serial, ago(c.pending[serial].at), c.pending[serial].era)
		}
	}
	return key.String()
}

// search explores all orders of steps up to the bounds, breadth first. It returns the
// number of states, and the shortest path to a state that violates an invariant.
func search(bounds modelBounds, rules protections) (states int, violated string, path []string) {
	type visit struct {
		state  *modelState
		parent int
		step   string
	}
	first := newModelState(bounds, rules)
	seen := map[string]bool{first.key(): true}
	visits := []visit{{state: first, parent: -1}}
	begin := 0
	for range bounds.depth {
		end := len(visits)
		for at := begin; at < end; at++ {
			for _, step := range visits[at].state.steps(bounds) {
				violated = step.next.violation()
				key := step.next.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				visits = append(visits, visit{state: step.next, parent: at, step: step.name})
				if violated == "" {
					continue
				}
				for i := len(visits) - 1; i > 0; i = visits[i].parent {
					path = append(path, visits[i].step)
				}
				slices.Reverse(path)
				return len(seen), violated, path
			}
			visits[at].state = nil
		}
		begin = end
	}
	return len(seen), "", nil
}

// In every order of steps, no two candidates hold the lease at the same time, tokens never
// decrease, and no two holders have the same token.
func TestEveryOrderOfStepsKeepsTheLease(t *testing.T) {
	for _, bounds := range []modelBounds{
		{candidates: 2, depth: 12, restores: 1, restarts: 0, inFlight: 2},
		{candidates: 2, depth: 10, restores: 2, restarts: 1, inFlight: 2},
		{candidates: 3, depth: 9, restores: 1, restarts: 0, inFlight: 2},
	} {
		if racedetector.Enabled {
			// The search runs in one goroutine. CI runs the full depth without the
			// race detector.
			bounds.depth -= 3
		}
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			states, violated, path := search(bounds, allProtections)
			t.Logf("%d states", states)
			if violated != "" {
				t.Errorf("%s: %s", violated, strings.Join(path, ", "))
			}
		})
	}
}

// Without any one of the protections the search finds an order that violates an
// invariant.
func TestEachProtectionOfTheLeaseIsNeeded(t *testing.T) {
	bounds := modelBounds{candidates: 2, depth: 14, restores: 1, restarts: 1, inFlight: 2}
	for name, without := range map[string]func(*protections){
		"the era in the state": func(p *protections) { p.era = false },
		"the era in tokens":    func(p *protections) { p.tokens = false },
		"conditions":           func(p *protections) { p.conditions = false },
	} {
		t.Run(name, func(t *testing.T) {
			rules := allProtections
			without(&rules)
			states, violated, path := search(bounds, rules)
			if violated == "" {
				t.Fatalf("no invariant is violated in %d states", states)
			}
			t.Logf("%d states; %s: %s", states, violated, strings.Join(path, ", "))
		})
	}
}
