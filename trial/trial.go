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

// Options says what to try.
type Options struct {
	Deployment Deployment
	Instances  int
	Duration   time.Duration
	Seed       uint64
	Traffic    bool
	// Load scales the traffic; 1 is the deployment's own rate.
	Load   float64
	Faults []Fault
	// Leave, if not 0, replaces the part of callers that go away early.
	Leave float64
	// Protect says which protections are on.
	Protect request.Protections
	// Progress, if not nil, is called as requests end.
	Progress func(ended, total int)
}

// Addresses is where the parts of a trial listen.
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
	// WastedPrefill is the share of read prompt tokens that were read in vain.
	WastedPrefill float64          `json:"wasted_prefill"`
	WastedByCause map[string]int64 `json:"wasted_by_cause"`
	HeldPieces    int              `json:"held_pieces_at_end"`
	HeldAfter     HeldAfter        `json:"held_after_departure"`
	Faults        map[string]int   `json:"faults,omitempty"`
	Violations    int              `json:"violations"`
	Found         []Violation      `json:"found,omitempty"`
}

// Trial is a running system.
type Trial struct {
	options   Options
	world     *world
	authority *peer.Authority
	random    *rand.Rand
	// nodes are the running instances by name; mu guards them.
	mu     sync.Mutex
	nodes  map[string]*node
	order  []string
	named  int
	counts map[string]int
	// background waits for faults that go on beside the others.
	background sync.WaitGroup
}

// startTimeout bounds the time until every instance is ready.
const startTimeout = 15 * time.Second

// Start brings the system up.
func Start(options Options) (*Trial, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	w, err := newWorld(options.Deployment, anyLoopback)
	if err != nil {
		return nil, err
	}
	t := &Trial{
		options: options, world: w, authority: authority,
		random: rand.New(rand.NewPCG(options.Seed, 1)),
		nodes:  make(map[string]*node),
		counts: make(map[string]int),
	}
	for range options.Instances {
		name, zone := t.nextName()
		if err := t.startNode(name, zone); err != nil {
			t.Stop()
			return nil, err
		}
	}
	if err := t.awaitReady(); err != nil {
		t.Stop()
		return nil, err
	}
	return t, nil
}

func (t *Trial) startNode(name, zone string) error {
	random := rand.New(rand.NewPCG(t.random.Uint64(), t.random.Uint64()))
	n, err := startNode(nodeOptions{
		name: name, zone: zone, world: t.world, authority: t.authority, random: random, protect: t.options.Protect,
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

// nextName names an instance that was not there before.
func (t *Trial) nextName() (name, zone string) {
	name, zone = t.options.Deployment.InstanceName(t.named)
	t.named++
	return name, zone
}

// running returns the running instances in the order in which they came.
func (t *Trial) running() []*node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]*node, 0, len(t.order))
	for _, name := range t.order {
		nodes = append(nodes, t.nodes[name])
	}
	return nodes
}

// remove drops an instance that is stopping.
func (t *Trial) remove(n *node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.nodes, n.name)
	t.order = slices.DeleteFunc(t.order, func(name string) bool { return name == n.name })
}

// callerAddresses returns where the running instances serve callers.
func (t *Trial) callerAddresses() []string {
	var addresses []string
	for _, n := range t.running() {
		addresses = append(addresses, n.caller)
	}
	return addresses
}

// awaitReady waits until every instance has the table and sees the others.
func (t *Trial) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if t.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("instances were not ready within %s", startTimeout)
}

func (t *Trial) ready() bool {
	nodes := t.running()
	for _, n := range nodes {
		of := n.daemon.Instance
		if of.Ready() != nil || len(of.Members().Serving()) < len(nodes)-1 {
			return false
		}
	}
	return true
}

// Addresses says where everything listens.
func (t *Trial) Addresses() Addresses {
	a := Addresses{
		Callers: make(map[string]string), Operators: make(map[string]string),
		Platform: t.world.platform, Backends: t.world.addresses, Token: Tokens.Edit,
	}
	for _, n := range t.running() {
		a.Callers[n.name] = n.caller
		a.Operators[n.name] = n.operator
	}
	return a
}

// callersPerZone is how many callers with an address of their own the sample
// traffic has in each zone.
const callersPerZone = 8

// quietTimeout bounds the time after the traffic in which what departed
// callers held must be released.
const quietTimeout = 12 * time.Second

// Run plays the traffic and the faults, and checks the ledgers.
func (t *Trial) Run(ctx context.Context) (*Summary, error) {
	var report *load.Report
	if t.options.Traffic {
		report = t.traffic(ctx)
	} else {
		wait.For(ctx, t.options.Duration)
		report = load.Run(ctx, load.Options{})
	}
	t.awaitQuiet()
	return t.sumUp(report), nil
}

func (t *Trial) traffic(ctx context.Context) *load.Report {
	profile := t.options.Deployment.Traffic
	profile.Rate *= t.options.Load
	profile.PlainRate *= t.options.Load
	if t.options.Leave > 0 {
		profile.CancelShare = t.options.Leave
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
		t.playFaults(faultCtx)
	}()
	report := load.Run(ctx, load.Options{
		Profile:  profile,
		Arrivals: load.Plan(profile, t.options.Duration, t.options.Seed),
		Targets:  load.DefaultTargets(),
		Callers:  callers,
		Answer:   standin.Answer,
		Progress: t.options.Progress,
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
			callers = append(callers, client.NewWith(t.callerAddresses, zone))
		}
	}
	return callers
}

// awaitQuiet waits until nothing is held any more.
func (t *Trial) awaitQuiet() {
	deadline := time.Now().Add(quietTimeout)
	for time.Now().Before(deadline) && t.world.heldPieces() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
}

func (t *Trial) sumUp(report *load.Report) *Summary {
	s := &Summary{Summary: report.Summary(), HeldPieces: t.world.heldPieces(), Faults: t.counts}
	s.HeldAfter = t.heldAfter(report)
	read, wasted := t.world.prefillTokens()
	s.WastedByCause = wasted
	total := int64(0)
	for _, tokens := range wasted {
		total += tokens
	}
	if read > 0 {
		s.WastedPrefill = float64(total) / float64(read)
	}
	s.Found = t.check(report, s.HeldAfter)
	s.Violations = len(s.Found)
	return s
}

// Stop ends everything.
func (t *Trial) Stop() {
	var group sync.WaitGroup
	for _, n := range t.running() {
		group.Go(n.kill)
	}
	group.Wait()
	t.world.stop()
}
