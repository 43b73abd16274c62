// Package compare compares placement policies. It runs the same arrivals under
// each policy on stand-in engines in memory. Under a virtual clock, a minute of
// traffic takes one or two seconds.
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

// Case configures one run.
type Case struct {
	Deployment trial.Deployment
	Instances  int
	// Load is the offered load as a multiple of Capacity.
	Load     float64
	Duration time.Duration
	Seed     uint64
	Policy   route.Policy
	// Flood is the fraction of the arrivals that the first team sends in
	// addition to its equal share of the rest.
	Flood float64
	// Outage, if not nil, happens during the run.
	Outage *Outage
}

// Result holds the results of one run.
type Result struct {
	Offered int
	Good    int
	Done    int
	// Goodput is the fraction of the offered requests that were done within the
	// targets for the time to first token and the time between tokens.
	Goodput float64
	// WastedPrefill is the fraction of the prefilled prompt tokens whose result was
	// not used.
	WastedPrefill float64
	WastedByCause map[string]int64
	FirstTokenP95 time.Duration
	BetweenP95    time.Duration
	Reasons       map[reason.Reason]int
	// Teams is the goodput by team.
	Teams map[string]float64
	// Before, During and After are the goodput of the requests that arrived
	// before, during and after an outage. Recovery is the time from the end of
	// the outage until the arrivals of a whole second reach 95% of the goodput
	// before it.
	Before, During, After float64
	Recovery              time.Duration
	// Bound is the largest goodput that a policy with full knowledge could
	// reach.
	Bound float64
}

// simulation is the simulated system of one run.
type simulation struct {
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
	// networkDelay is the one-way latency between instances.
	networkDelay = 500 * time.Microsecond
	// settleTime is the time before the arrivals in which the instances
	// discover each other. The run also waits this long after the last request
	// before it reads the engines' ledgers (their records of the work that they did).
	settleTime = 3 * time.Second
)

func newSimulation(c Case) *simulation {
	s := &simulation{
		c: c, log: standin.NewLog(), list: standin.NewList(0), farm: standin.NewFarm(),
		network: standin.NewNetwork(networkDelay),
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	record, err := json.Marshal(c.Deployment.InitialTableEdit(s.addEngines()))
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

// addEngines adds the engines and returns the addresses of all backend servers
// by name.
func (s *simulation) addEngines() map[string]string {
	addresses := make(map[string]string)
	for n, name := range s.c.Deployment.EngineNames() {
		addresses[name] = engineAddress(n)
		s.farm.Add(addresses[name], standin.DefaultEngine(name))
	}
	for n, name := range s.c.Deployment.PlainServerNames() {
		addresses[name] = fmt.Sprintf("10.0.1.%d:1", n+1)
	}
	return addresses
}

func engineAddress(n int) string { return fmt.Sprintf("10.0.0.%d:1", n+1) }

func (s *simulation) addInstance(ctx context.Context, n int) {
	name, zone := s.c.Deployment.InstanceName(n)
	address := fmt.Sprintf("10.1.0.%d:1", n+1)
	config := instance.DefaultRegion()
	config.Name, config.Zone, config.Caller, config.Peer = name, zone, address, address
	config.Request.Policy = s.c.Policy
	random := standin.LockedRandom(rand.New(rand.NewPCG(s.c.Seed, uint64(n))))
	inst := instance.New(config, instance.Deps{
		Engines: s.farm, Services: standin.NewPlain(0), Log: s.log, List: s.list,
		Peers: s.network.Port(address), Weights: standin.NewWeights(nil), Random: random,
	})
	s.nodes = append(s.nodes, inst)
	s.list.Set(instancelist.Entry{Name: name, Zone: zone, Peer: address, State: instancelist.Live})
	s.done.Go(func() { inst.Run(ctx) })
}

// answer records when one caller received the first and the last token, and how
// many tokens it received.
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
	// bySecond counts all requests, and those within the targets for the time to
	// first token and the time between tokens, by the second of their arrival.
	bySecond map[int]*secondCount
}

// secondCount counts the requests that arrived in one second.
type secondCount struct{ offered, good int }

// Run runs one case and returns its result.
func Run(c Case) Result {
	s := newSimulation(c)
	time.Sleep(settleTime)
	arrivals := Arrivals(c)
	t := &tally{offered: make(map[string]int), good: make(map[string]int), bySecond: make(map[int]*secondCount), result: Result{Reasons: make(map[reason.Reason]int), Offered: len(arrivals)}}
	started := time.Now()
	var group sync.WaitGroup
	if c.Outage != nil {
		group.Go(func() { c.Outage.run(s) })
	}
	for n, arrival := range arrivals {
		time.Sleep(time.Until(started.Add(arrival.At)))
		home := s.nodes[n%len(s.nodes)]
		group.Go(func() { t.runRequest(home, c, arrival) })
	}
	group.Wait()
	time.Sleep(settleTime)
	s.addWaste(&t.result)
	s.stop()
	s.done.Wait()
	return t.summarize(c, arrivals)
}

// runRequest runs one arrival to its end and counts its outcome.
func (t *tally) runRequest(home *instance.Instance, c Case, arrival load.Arrival) {
	leave := home.BeginRequest()
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
		t.bySecond[second] = &secondCount{}
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

// addWaste sets the wasted prefill in result from the engines' ledgers.
func (s *simulation) addWaste(result *Result) {
	prefilled, wasted := int64(0), int64(0)
	result.WastedByCause = make(map[string]int64)
	for n := range s.c.Deployment.EngineNames() {
		ledger := s.farm.Engine(engineAddress(n)).Ledger()
		prefilled += ledger.PrefillTokens
		for cause, tokens := range ledger.WastedTokens {
			wasted += tokens
			result.WastedByCause[cause] += tokens
		}
	}
	if prefilled > 0 {
		result.WastedPrefill = float64(wasted) / float64(prefilled)
	}
}

// summarize computes the result from the counts.
func (t *tally) summarize(c Case, arrivals []load.Arrival) Result {
	r := t.result
	if r.Offered > 0 {
		r.Goodput = float64(r.Good) / float64(r.Offered)
	}
	r.Teams = make(map[string]float64)
	for team, offered := range t.offered {
		r.Teams[team] = float64(t.good[team]) / float64(offered)
	}
	if c.Outage != nil {
		t.measureRecovery(&r, c)
	}
	r.FirstTokenP95, r.BetweenP95 = p95(t.first), p95(t.between)
	r.Bound = goodputBound(c, arrivals)
	return r
}

func p95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)*95/100]
}

// goodput returns the goodput of the arrivals in the seconds from <= s < to.
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

// recoveredFraction is the fraction of the goodput before an outage at which
// the system counts as recovered.
const recoveredFraction = 0.95

// measureRecovery sets the goodput around the outage and the recovery time.
func (t *tally) measureRecovery(r *Result, c Case) {
	starts, ends := int(c.Outage.At/time.Second), int((c.Outage.At+c.Outage.Duration)/time.Second)
	last := int(c.Duration / time.Second)
	r.Before, r.During, r.After = t.goodput(0, starts), t.goodput(starts, ends), t.goodput(ends, last)
	for second := ends; second < last; second++ {
		if t.goodput(second, second+1) >= recoveredFraction*r.Before {
			return
		}
		r.Recovery += time.Second
	}
}

// Arrivals plans the arrivals of a case. They are model requests only, at the
// load of the case.
func Arrivals(c Case) []load.Arrival {
	profile := c.Deployment.Traffic
	profile.PlainRate = 0
	profile.CancelShare = 0
	profile.FirstTeamExtra = c.Flood
	profile.Rate = c.Load * Capacity(c.Deployment)
	return load.Plan(profile, c.Duration, c.Seed)
}

// requestCost returns how much of the two resources one request uses, in seconds of
// one prefill engine and in seconds of one memory piece (the unit of KV cache memory,
// 2,000 tokens) of a decode engine.
func requestCost(e standin.EngineConfig, a load.Arrival) (prefill, memory float64) {
	tokens := engine.EstimateTokens(len(a.Prompt))
	prefill = float64(tokens) / e.TokenRate
	transfer := float64(tokens) * e.BytesPerToken / e.LinkBytesPerSecond
	batch := e.Pieces / 2
	step := (e.StepBase + time.Duration(batch)*e.StepEach).Seconds()
	hold := transfer + float64(a.MaxTokens)*step
	return prefill, float64(engine.PiecesFor(tokens, a.MaxTokens)) * hold
}

// Capacity returns the rate of the deployment's own requests, per second, at
// which the prefill engines or the decode memory are fully used, whichever comes
// first. It assumes that prefix caches never hit.
func Capacity(d trial.Deployment) float64 {
	profile := d.Traffic
	profile.PlainRate = 0
	const samplesFor = 200 * time.Second
	sample := load.Plan(profile, samplesFor, 99)
	e := standin.DefaultEngine("")
	var prefill, memory float64
	for _, a := range sample {
		p, m := requestCost(e, a)
		prefill += p
		memory += m
	}
	n := float64(len(sample))
	byPrefill := float64(d.Prefill) / (prefill / n)
	byMemory := float64(d.Decode*e.Pieces) / (memory / n)
	return min(byPrefill, byMemory)
}

// goodputBound returns the fraction of the arrivals that a policy with full
// knowledge could serve. It takes the cheapest requests first until a resource
// is used up. It assumes that work can be split and moved between engines freely
// and that prefix caches always hit.
func goodputBound(c Case, arrivals []load.Arrival) float64 {
	e := standin.DefaultEngine("")
	span := (c.Duration + load.DefaultTargets().FirstToken).Seconds()
	most := len(arrivals)
	for _, resource := range []struct {
		amount float64
		need   func(load.Arrival) float64
	}{
		{float64(c.Deployment.Prefill) * span, func(a load.Arrival) float64 {
			p, _ := requestCost(e, a)
			cached := float64(c.Deployment.Traffic.TemplateTokens) / e.TokenRate
			return max(p-cached, 0)
		}},
		{float64(c.Deployment.Decode*e.Pieces) * span, func(a load.Arrival) float64 {
			_, m := requestCost(e, a)
			return m
		}},
	} {
		most = min(most, countFitting(arrivals, resource.amount, resource.need))
	}
	return float64(most) / float64(len(arrivals))
}

// countFitting returns how many arrivals, the cheapest first, fit into amount.
func countFitting(arrivals []load.Arrival, amount float64, need func(load.Arrival) float64) int {
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
