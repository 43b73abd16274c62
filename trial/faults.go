package trial

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/wait"
)

// Fault is one kind of fault that a trial can inject.
type Fault struct {
	Name    string
	Meaning string
	// Every is the mean interval between two faults of this kind.
	Every time.Duration
	// planned marks a planned stop, which must not interrupt any request.
	planned bool
	// slowsRelease marks faults that delay the release of memory.
	slowsRelease bool
	inject       func(t *Trial)
}

// FaultList lists the faults.
var FaultList = []Fault{
	{Name: "break-stream", Meaning: "a decode stream ends early", Every: 2 * time.Second,
		inject: func(t *Trial) { t.randomDecodeEngine().Faults.BreakStreams.Add(1) }},
	{Name: "repeat-token", Meaning: "tokens arrive twice", Every: 2 * time.Second,
		inject: func(t *Trial) { t.randomDecodeEngine().Faults.RepeatTokens.Add(3) }},
	{Name: "foreign-token", Meaning: "tokens of another request arrive", Every: 2 * time.Second,
		inject: func(t *Trial) { t.randomDecodeEngine().Faults.ForeignTokens.Add(3) }},
	{Name: "stall-transfer", Meaning: "a KV transfer hangs", Every: 2 * time.Second,
		inject: func(t *Trial) { t.randomDecodeEngine().Faults.StallImports.Add(1) }},
	{Name: "lose-cancel", Meaning: "a cancel takes effect and its reply is lost", Every: time.Second,
		inject: func(t *Trial) { t.randomDecodeEngine().Faults.LoseCancelReplies.Add(2) }},
	{Name: "engine-crash", Meaning: "an engine loses its memory", Every: 4 * time.Second,
		inject: func(t *Trial) { t.randomEngine().Crash() }},
	{Name: "engine-down", Meaning: "an engine is unreachable for a second", Every: 5 * time.Second,
		slowsRelease: true, inject: engineDown},
	{Name: "engine-slow", Meaning: "an engine takes three times as long for two seconds", Every: 5 * time.Second,
		inject: engineSlow},
	{Name: "engine-leaving", Meaning: "an engine says that it is leaving, for five seconds", Every: 5 * time.Second,
		inject: engineLeaving},
	{Name: "lose-reply", Meaning: "a plain call runs and its answer is lost", Every: time.Second,
		inject: func(t *Trial) { t.env.plain.LoseReplies.Add(1) }},
	{Name: "refuse-call", Meaning: "a plain server says that it did not run a call", Every: time.Second,
		inject: func(t *Trial) { t.env.plain.Refuse.Add(1) }},
	{Name: "log-down", Meaning: "the log answers nothing for two seconds", Every: 6 * time.Second, inject: logDown},
	{Name: "instance-kill", Meaning: "an instance dies and is restarted", Every: 6 * time.Second,
		slowsRelease: true, inject: instanceKill},
	{Name: "instance-lost", Meaning: "an instance dies and another takes its place", Every: 5 * time.Second,
		slowsRelease: true, inject: instanceLost},
	{Name: "instance-pause", Meaning: "an instance freezes for three seconds", Every: 7 * time.Second,
		slowsRelease: true, inject: instancePause},
	{Name: "instance-drain", Meaning: "an instance is stopped gracefully and replaced", Every: 4 * time.Second,
		planned: true, inject: instanceDrain},
}

// FindFaults parses a comma-separated list of fault names. "all" selects every
// fault.
func FindFaults(list string) ([]Fault, error) {
	if list == "" {
		return nil, nil
	}
	if list == "all" {
		return FaultList, nil
	}
	var found []Fault
	for _, name := range strings.Split(list, ",") {
		i := slices.IndexFunc(FaultList, func(f Fault) bool { return f.Name == name })
		if i < 0 {
			return nil, errors.Errorf("unknown fault %q: --list-faults shows the names", name)
		}
		found = append(found, FaultList[i])
	}
	return found, nil
}

// injectFaults injects each fault at random times until ctx is done. One
// goroutine starts all faults, so two faults never change the set of instances
// at the same time. Faults that take a while continue in the background.
func (t *Trial) injectFaults(ctx context.Context) {
	if len(t.options.Faults) == 0 {
		return
	}
	next := make([]time.Time, len(t.options.Faults))
	for i, fault := range t.options.Faults {
		next[i] = time.Now().Add(t.jitter(fault.Every))
	}
	for {
		i := 0
		for n := range next {
			if next[n].Before(next[i]) {
				i = n
			}
		}
		if !wait.For(ctx, time.Until(next[i])) {
			return
		}
		fault := t.options.Faults[i]
		t.faultCounts[fault.Name]++
		fault.inject(t)
		next[i] = time.Now().Add(t.jitter(fault.Every))
	}
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (t *Trial) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(mean))
}

// randomEngine returns a randomly drawn engine of either pool.
func (t *Trial) randomEngine() *standin.Engine {
	servers := t.options.Deployment.backendServers()
	return t.env.engines[servers[t.random.IntN(t.options.Deployment.Prefill+t.options.Deployment.Decode)].name]
}

// randomDecodeEngine returns a randomly drawn engine of the decode pool.
func (t *Trial) randomDecodeEngine() *standin.Engine {
	servers := t.options.Deployment.backendServers()[t.options.Deployment.Prefill:]
	return t.env.engines[servers[t.random.IntN(t.options.Deployment.Decode)].name]
}

func engineDown(t *Trial) {
	e := t.randomEngine()
	e.Faults.Down.Store(true)
	time.AfterFunc(time.Second, func() { e.Faults.Down.Store(false) })
}

func engineSlow(t *Trial) {
	const slowPercent = 300
	e := t.randomEngine()
	e.Faults.Slow.Store(slowPercent)
	time.AfterFunc(2*time.Second, func() { e.Faults.Slow.Store(0) })
}

func engineLeaving(t *Trial) {
	e := t.randomEngine()
	e.Faults.Draining.Store(true)
	time.AfterFunc(5*time.Second, func() { e.Faults.Draining.Store(false) })
}

func logDown(t *Trial) {
	t.env.log.Down.Store(true)
	time.AfterFunc(2*time.Second, func() { t.env.log.Down.Store(false) })
}

func (t *Trial) randomNode() *node {
	nodes := t.running()
	return nodes[t.random.IntN(len(nodes))]
}

// instanceKill kills an instance and starts it again under the same name.
func instanceKill(t *Trial) {
	n := t.randomNode()
	n.kill()
	t.mustStart(n.name, n.zone)
}

// instanceLost kills an instance and starts a replacement under a new name. The
// instance list no longer shows the killed one.
func instanceLost(t *Trial) {
	n := t.randomNode()
	t.remove(n)
	n.kill()
	t.env.list.Remove(n.name)
	t.mustStart(t.nextName())
}

const pauseTime = 3 * time.Second

func instancePause(t *Trial) {
	n := t.randomNode()
	t.background.Go(func() { n.pause(pauseTime) })
}

// instanceDrain starts a replacement under a new name, then stops an instance
// gracefully.
func instanceDrain(t *Trial) {
	n := t.randomNode()
	t.mustStart(t.nextName())
	t.remove(n)
	t.env.list.MarkDraining(n.name)
	t.background.Go(func() {
		defer t.env.list.Remove(n.name)
		if err := n.shutdown(); err != nil {
			panic("trial: " + err.Error())
		}
	})
}

func (t *Trial) mustStart(name, zone string) {
	if err := t.startNode(name, zone); err != nil {
		panic("trial: start replacement instance: " + err.Error())
	}
}
