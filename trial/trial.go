package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/client"
	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/wait"
)

// Options configures a trial.
type Options struct {
	Deployment Deployment
	Instances  int
	Duration   time.Duration
	Seed       uint64
	Traffic    bool
	// Load scales the traffic; 1 is the deployment's own rate.
	Load   float64
	Faults []Fault
	// DisconnectShare, if not 0, replaces the deployment's share of callers that
	// disconnect early.
	DisconnectShare float64
	// Protect selects the protections that are on.
	Protect request.Protections
	// Progress, if not nil, is called whenever a request has ended.
	Progress func(ended, total int)
}

// Addresses holds the addresses on which the components of a trial listen.
type Addresses struct {
	Callers   map[string]string `json:"callers"`
	Operators map[string]string `json:"operators"`
	Platform  string            `json:"platform"`
	Backends  map[string]string `json:"backends"`
	// Token is the operators' token.
	Token string `json:"token"`
}

// Summary is the result of a trial.
type Summary struct {
	load.Summary
	// WastedPrefill is the share of prefilled prompt tokens whose result was
	// not used.
	WastedPrefill float64          `json:"wasted_prefill"`
	WastedByCause map[string]int64 `json:"wasted_by_cause"`
	HeldPieces    int              `json:"held_pieces_at_end"`
	HeldAfter     HeldAfter        `json:"held_after_departure"`
	Faults        map[string]int   `json:"faults,omitempty"`
	Violations    int              `json:"violations"`
	Found         []Violation      `json:"found,omitempty"`
}

// Trial is a running system of instances, stand-ins and callers.
type Trial struct {
	options   Options
	env       *environment
	authority *peer.Authority
	random    *rand.Rand
	// nodes are the running instances by name; mu guards them.
	mu    sync.Mutex
	nodes map[string]*node
	order []string
	// nextIndex is the index of the next new instance name.
	nextIndex   int
	faultCounts map[string]int
	// background waits for faults that run concurrently with later ones.
	background sync.WaitGroup
}

// startTimeout bounds the time until every instance is ready.
const startTimeout = 15 * time.Second

// Start starts the stand-ins and the instances, and waits until the instances
// are ready.
func Start(options Options) (*Trial, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	env, err := newEnvironment(options.Deployment, anyLoopback)
	if err != nil {
		return nil, err
	}
	t := &Trial{
		options: options, env: env, authority: authority,
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		nodes:       make(map[string]*node),
		faultCounts: make(map[string]int),
	}
	for range options.Instances {
		name, zone := t.nextName()
		if err := t.startNode(name, zone); err != nil {
			t.Stop()
			return nil, err
		}
	}
	if err := t.awaitReady(startTimeout); err != nil {
		t.Stop()
		return nil, err
	}
	return t, nil
}

func (t *Trial) startNode(name, zone string) error {
	random := rand.New(rand.NewPCG(t.random.Uint64(), t.random.Uint64()))
	n, err := startNode(nodeOptions{
		name: name, zone: zone, env: t.env, authority: t.authority, random: random, protect: t.options.Protect,
	})
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, restarted := t.nodes[name]; !restarted {
		t.order = append(t.order, name)
	}
	t.nodes[name] = n
	return nil
}

// nextName returns the name and zone of the next new instance.
func (t *Trial) nextName() (name, zone string) {
	name, zone = t.options.Deployment.InstanceName(t.nextIndex)
	t.nextIndex++
	return name, zone
}

// running returns the running instances in the order in which they
// were first started.
func (t *Trial) running() []*node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]*node, 0, len(t.order))
	for _, name := range t.order {
		nodes = append(nodes, t.nodes[name])
	}
	return nodes
}

// remove takes a stopping instance off the list of running instances.
func (t *Trial) remove(n *node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.nodes, n.name)
	t.order = slices.DeleteFunc(t.order, func(name string) bool { return name == n.name })
}

// callerAddresses returns the addresses on which the running instances serve
// callers.
func (t *Trial) callerAddresses() []string {
	var addresses []string
	for _, n := range t.running() {
		addresses = append(addresses, n.caller)
	}
	return addresses
}

// awaitReady waits until every instance has the table and lists the other instances
// as serving.
func (t *Trial) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if t.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("instances were not ready within %s", within)
}

func (t *Trial) ready() bool {
	nodes := t.running()
	for _, n := range nodes {
		inst := n.daemon.Instance
		if inst.Ready() != nil || len(inst.Members().Serving()) < len(nodes)-1 {
			return false
		}
	}
	return true
}

// Addresses returns the addresses on which the components listen.
func (t *Trial) Addresses() Addresses {
	a := Addresses{
		Callers: make(map[string]string), Operators: make(map[string]string),
		Platform: t.env.platform, Backends: t.env.addresses, Token: Tokens.Edit,
	}
	for _, n := range t.running() {
		a.Callers[n.name] = n.caller
		a.Operators[n.name] = n.operator
	}
	return a
}

// callersPerZone is the number of callers with their own address that the
// sample traffic has in each zone.
const callersPerZone = 8

// releaseTimeout bounds the time after the traffic within which memory held for
// departed callers must be released.
const releaseTimeout = 12 * time.Second

// Run runs the traffic, injects the faults, and checks the ledgers.
func (t *Trial) Run(ctx context.Context) (*Summary, error) {
	var report *load.Report
	if t.options.Traffic {
		report = t.traffic(ctx)
	} else {
		wait.For(ctx, t.options.Duration)
		report = load.Run(ctx, load.Options{})
	}
	t.awaitMemoryRelease()
	return t.summarize(report), nil
}

func (t *Trial) traffic(ctx context.Context) *load.Report {
	profile := t.options.Deployment.Traffic
	profile.Rate *= t.options.Load
	profile.PlainRate *= t.options.Load
	if t.options.DisconnectShare > 0 {
		profile.CancelShare = t.options.DisconnectShare
	}
	callers := t.callers()
	defer func() {
		for _, c := range callers {
			c.Close()
		}
	}()
	faultCtx, stopFaults := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		t.injectFaults(faultCtx)
	}()
	report := load.Run(ctx, load.Options{
		Profile:        profile,
		Arrivals:       load.Plan(profile, t.options.Duration, t.options.Seed),
		Targets:        load.DefaultTargets(),
		Callers:        callers,
		ExpectedAnswer: standin.Answer,
		Progress:       t.options.Progress,
	})
	stopFaults()
	<-faultsDone
	t.background.Wait()
	return report
}

func (t *Trial) callers() []*client.Client {
	var callers []*client.Client
	for _, zone := range t.options.Deployment.Zones {
		for range callersPerZone {
			callers = append(callers, client.NewWithAddresses(t.callerAddresses, zone))
		}
	}
	return callers
}

// awaitMemoryRelease waits until no decode memory is held, for at most releaseTimeout.
func (t *Trial) awaitMemoryRelease() {
	deadline := time.Now().Add(releaseTimeout)
	for time.Now().Before(deadline) && t.env.heldPieces() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
}

func (t *Trial) summarize(report *load.Report) *Summary {
	s := &Summary{Summary: report.Summary(), HeldPieces: t.env.heldPieces(), Faults: t.faultCounts}
	s.HeldAfter = t.heldAfter(report)
	prefilled, wasted := t.env.prefillTokens()
	s.WastedByCause = wasted
	total := int64(0)
	for _, tokens := range wasted {
		total += tokens
	}
	if prefilled > 0 {
		s.WastedPrefill = float64(total) / float64(prefilled)
	}
	s.Found = t.check(report, s.HeldAfter)
	s.Violations = len(s.Found)
	return s
}

// Stop kills the instances and stops the stand-ins.
func (t *Trial) Stop() {
	var group sync.WaitGroup
	for _, n := range t.running() {
		group.Go(n.kill)
	}
	group.Wait()
	t.env.stop()
}
