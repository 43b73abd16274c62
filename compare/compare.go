// Package compare plays the same arrivals through different ways to place
// requests, side by side, on stand-in engines in memory. Run under a virtual
// clock, a minute of traffic takes a second or two.
package compare

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/trial"
)

// Case is one run.
type Case struct {
	Deployment trial.Deployment
	Instances  int
	// Load is the offered load as a multiple of capacity.
	Load     float64
	Duration time.Duration
	Seed     uint64
	Policy   route.Policy
	// Flood is the part of the arrivals that the first team sends beside its
	// equal part of the rest.
	Flood float64
	// Outage, if not nil, strikes in the middle of the run.
	Outage *Outage
}

// Result is what came of one run.
type Result struct {
	Offered int
	Good    int
	Done    int
	// Goodput is the part of offered requests done within both targets.
	Goodput float64
	// Wasted is the part of read prompt tokens that were read in vain.
	Wasted        float64
	WastedByCause map[string]int64
	FirstTokenP95 time.Duration
	BetweenP95    time.Duration
	Reasons       map[reason.Reason]int
	// Teams is the goodput of each team.
	Teams map[string]float64
	// Before, During and After are the goodput of what arrived before, in and
	// after an outage; Recovery is the time from its end until the arrivals of
	// a whole second did as well as before, less a twentieth.
	Before, During, After float64
	Recovery              time.Duration
	// Bound is the largest part that an all-knowing placer could do.
	Bound float64
}

// site is the system of one run.
type site struct {
	c       Case
	log     *standin.Log
	list    *standin.List
	farm    *standin.Farm
	network *standin.Network
	nodes   []*instance.Instance
	stop    context.CancelFunc
	done    sync.WaitGroup
}

const (
	// siteDelay is the one-way latency between instances.
	siteDelay = 500 * time.Microsecond
	// settle is the time before the arrivals, in which instances meet.
	settle = 3 * time.Second
)

func newSite(c Case) *site {
	s := &site{
		c: c, log: standin.NewLog(), list: standin.NewList(0), farm: standin.NewFarm(),
		network: standin.NewNetwork(siteDelay),
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	record, err := json.Marshal(c.Deployment.FirstEdit(s.addEngines()))
	if err != nil {
		panic("compare: " + err.Error())
	}
	if _, err := s.log.Append(ctx, record); err != nil {
		panic("compare: " + err.Error())
	}
	for n := range c.Instances {
		s.addInstance(ctx, n)
	}
	return s
}

// addEngines adds the engines and returns where every backend server is.
func (s *site) addEngines() map[string]string {
	addresses := make(map[string]string)
	for n, name := range s.c.Deployment.Workers() {
		addresses[name] = engineAddress(n)
		s.farm.Add(addresses[name], standin.DefaultEngine(name))
	}
	for n, name := range s.c.Deployment.PlainServers() {
		addresses[name] = fmt.Sprintf("10.0.1.%d:1", n+1)
	}
	return addresses
}

func engineAddress(n int) string { return fmt.Sprintf("10.0.0.%d:1", n+1) }

func (s *site) addInstance(ctx context.Context, n int) {
	name, zone := s.c.Deployment.InstanceName(n)
	address := fmt.Sprintf("10.1.0.%d:1", n+1)
	config := instance.DefaultRegion()
	config.Name, config.Zone, config.Caller, config.Peer = name, zone, address, address
	config.Request.Policy = s.c.Policy
	random := standin.LockedRandom(rand.New(rand.NewPCG(s.c.Seed, uint64(n))))
	of := instance.New(config, instance.Deps{
		Engines: s.farm, Services: standin.NewPlain(0), Log: s.log, List: s.list,
		Peers: s.network.Port(address), Weights: standin.NewWeights(nil), Random: random,
	})
	s.nodes = append(s.nodes, of)
	s.list.Set(instancelist.Entry{Name: name, Zone: zone, Peer: address, State: instancelist.Live})
	s.done.Go(func() { of.Run(ctx) })
}

// answer is what one caller saw.
type answer struct {
	arrived time.Time
	first   time.Time
	last    time.Time
	tokens  int
}

// Token implements request.Sink.
func (a *answer) Token(engine.Token) error {
	a.last = time.Now()
	if a.tokens == 0 {
		a.first = a.last
	}
	a.tokens++
	return nil
}

func (a *answer) between() time.Duration {
	if a.tokens < 2 {
		return 0
	}
	return a.last.Sub(a.first) / time.Duration(a.tokens-1)
}

// tally gathers the answers of one run.
type tally struct {
	mu      sync.Mutex
	result  Result
	first   []time.Duration
	between []time.Duration
	offered map[string]int
	good    map[string]int
	// bySecond counts arrivals and good ones by the second of arrival.
	bySecond map[int]*bin
}

type bin struct{ offered, good int }

// Run plays one case.
func Run(c Case) Result {
	s := newSite(c)
	time.Sleep(settle)
	arrivals := Arrivals(c)
	t := &tally{offered: make(map[string]int), good: make(map[string]int), bySecond: make(map[int]*bin), result: Result{Reasons: make(map[reason.Reason]int), Offered: len(arrivals)}}
	started := time.Now()
	var group sync.WaitGroup
	if c.Outage != nil {
		group.Go(func() { c.Outage.play(s) })
	}
	for n, arrival := range arrivals {
		time.Sleep(time.Until(started.Add(arrival.At)))
		home := s.nodes[n%len(s.nodes)]
		group.Go(func() { t.one(home, c, arrival) })
	}
	group.Wait()
	time.Sleep(settle)
	s.waste(&t.result)
	s.stop()
	s.done.Wait()
	return t.close(c, arrivals)
}

func (t *tally) one(home *instance.Instance, c Case, arrival load.Arrival) {
	leave := home.Enter()
	defer leave()
	a := &answer{arrived: time.Now()}
	result := home.Runner.RunModel(context.Background(), request.Model{
		ID: home.NewRequestID(), Model: c.Deployment.Model, Team: arrival.Team,
		Prompt: arrival.Prompt, MaxTokens: arrival.MaxTokens,
	}, a)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered[arrival.Team]++
	second := int(arrival.At / time.Second)
	if t.bySecond[second] == nil {
		t.bySecond[second] = &bin{}
	}
	t.bySecond[second].offered++
	if result.Outcome != reason.Done {
		t.result.Reasons[result.Reason]++
		return
	}
	t.result.Done++
	first := a.first.Sub(a.arrived)
	t.first, t.between = append(t.first, first), append(t.between, a.between())
	targets := load.DefaultTargets()
	if first <= targets.FirstToken && a.between() <= targets.BetweenTokens {
		t.result.Good++
		t.good[arrival.Team]++
		t.bySecond[second].good++
	}
}

func (s *site) waste(result *Result) {
	read, wasted := int64(0), int64(0)
	result.WastedByCause = make(map[string]int64)
	for n := range s.c.Deployment.Workers() {
		ledger := s.farm.Engine(engineAddress(n)).Ledger()
		read += ledger.PrefillTokens
		for cause, tokens := range ledger.WastedTokens {
			wasted += tokens
			result.WastedByCause[cause] += tokens
		}
	}
	if read > 0 {
		result.Wasted = float64(wasted) / float64(read)
	}
}

func (t *tally) close(c Case, arrivals []load.Arrival) Result {
	r := t.result
	if r.Offered > 0 {
		r.Goodput = float64(r.Good) / float64(r.Offered)
	}
	r.Teams = make(map[string]float64)
	for team, offered := range t.offered {
		r.Teams[team] = float64(t.good[team]) / float64(offered)
	}
	if c.Outage != nil {
		t.recovery(&r, c)
	}
	r.FirstTokenP95, r.BetweenP95 = p95(t.first), p95(t.between)
	r.Bound = bound(c, arrivals)
	return r
}

func p95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)*95/100]
}

// goodput is that of the arrivals from one second to before another.
func (t *tally) goodput(from, to int) float64 {
	offered, good := 0, 0
	for second := from; second < to; second++ {
		if b := t.bySecond[second]; b != nil {
			offered += b.offered
			good += b.good
		}
	}
	if offered == 0 {
		return 0
	}
	return float64(good) / float64(offered)
}

// recovered is the part of the goodput before that counts as recovered.
const recovered = 0.95

func (t *tally) recovery(r *Result, c Case) {
	starts, ends := int(c.Outage.At/time.Second), int((c.Outage.At+c.Outage.For)/time.Second)
	last := int(c.Duration / time.Second)
	r.Before, r.During, r.After = t.goodput(0, starts), t.goodput(starts, ends), t.goodput(ends, last)
	for second := ends; second < last; second++ {
		if t.goodput(second, second+1) >= recovered*r.Before {
			return
		}
		r.Recovery += time.Second
	}
}

// Arrivals makes the arrivals of a case: model requests alone, at the load
// that the case names.
func Arrivals(c Case) []load.Arrival {
	profile := c.Deployment.Traffic
	profile.PlainRate = 0
	profile.CancelShare = 0
	profile.Flood = c.Flood
	profile.Rate = c.Load * Capacity(c.Deployment)
	return load.Plan(profile, c.Duration, c.Seed)
}

// need is what one request takes of the two resources, in seconds of one
// prefill engine, and in piece-seconds of decode memory.
func need(e standin.EngineConfig, a load.Arrival) (prefill, memory float64) {
	tokens := engine.EstimateTokens(len(a.Prompt))
	prefill = float64(tokens) / e.TokenRate
	transfer := float64(tokens) * e.BytesPerToken / e.LinkBytesPerSecond
	batch := e.Pieces / 2
	step := (e.StepBase + time.Duration(batch)*e.StepEach).Seconds()
	hold := transfer + float64(a.MaxTokens)*step
	return prefill, float64(engine.PiecesFor(tokens, a.MaxTokens)) * hold
}

// Capacity is the rate of the deployment's own requests, a second, at which
// prefill engines or decode memory are fully used, whichever is first, with
// no help from prefix caches.
func Capacity(d trial.Deployment) float64 {
	profile := d.Traffic
	profile.PlainRate = 0
	const samplesFor = 200 * time.Second
	sample := load.Plan(profile, samplesFor, 99)
	e := standin.DefaultEngine("")
	var prefill, memory float64
	for _, a := range sample {
		p, m := need(e, a)
		prefill += p
		memory += m
	}
	n := float64(len(sample))
	byPrefill := float64(d.Prefill) / (prefill / n)
	byMemory := float64(d.Decode*e.Pieces) / (memory / n)
	return min(byPrefill, byMemory)
}

// bound is the part of the arrivals that an all-knowing placer could do: the
// cheapest first, for as long as each resource lasts, as if work could be cut
// up and moved at will and prefix caches hit always.
func bound(c Case, arrivals []load.Arrival) float64 {
	e := standin.DefaultEngine("")
	span := (c.Duration + load.DefaultTargets().FirstToken).Seconds()
	most := len(arrivals)
	for _, resource := range []struct {
		amount float64
		need   func(load.Arrival) float64
	}{
		{float64(c.Deployment.Prefill) * span, func(a load.Arrival) float64 {
			p, _ := need(e, a)
			cached := float64(c.Deployment.Traffic.TemplateTokens) / e.TokenRate
			return max(p-cached, 0)
		}},
		{float64(c.Deployment.Decode*e.Pieces) * span, func(a load.Arrival) float64 {
			_, m := need(e, a)
			return m
		}},
	} {
		most = min(most, fits(arrivals, resource.amount, resource.need))
	}
	return float64(most) / float64(len(arrivals))
}

func fits(arrivals []load.Arrival, amount float64, need func(load.Arrival) float64) int {
	needs := make([]float64, len(arrivals))
	for i, a := range arrivals {
		needs[i] = need(a)
	}
	slices.SortFunc(needs, cmp.Compare[float64])
	for i, n := range needs {
		if amount -= n; amount < 0 {
			return i
		}
	}
	return len(needs)
}
