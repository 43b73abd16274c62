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

// Fault is one kind of trouble that a trial can make.
type Fault struct {
	Name    string
	Meaning string
	// Every is the mean pause between two of the kind.
	Every time.Duration
	// planned marks a planned stop, which may cut off nothing.
	planned bool
	// slowsRelease marks faults after which memory is released late.
	slowsRelease bool
	strike       func(t *Trial)
}

// FaultList lists the faults.
var FaultList = []Fault{
	{Name: "break-stream", Meaning: "a decode stream ends early", Every: 2 * time.Second,
		strike: func(t *Trial) { t.anyDecode().Faults.BreakStreams.Add(1) }},
	{Name: "repeat-token", Meaning: "tokens arrive twice", Every: 2 * time.Second,
		strike: func(t *Trial) { t.anyDecode().Faults.RepeatTokens.Add(3) }},
	{Name: "foreign-token", Meaning: "tokens of another request arrive", Every: 2 * time.Second,
		strike: func(t *Trial) { t.anyDecode().Faults.ForeignTokens.Add(3) }},
	{Name: "stall-transfer", Meaning: "a KV transfer hangs", Every: 2 * time.Second,
		strike: func(t *Trial) { t.anyDecode().Faults.StallImports.Add(1) }},
	{Name: "lose-cancel", Meaning: "a cancel takes effect and its reply is lost", Every: time.Second,
		strike: func(t *Trial) { t.anyDecode().Faults.LoseCancelReplies.Add(2) }},
	{Name: "engine-crash", Meaning: "an engine loses its memory", Every: 4 * time.Second,
		strike: func(t *Trial) { t.anyEngine().Crash() }},
	{Name: "engine-down", Meaning: "an engine is unreachable for a second", Every: 5 * time.Second,
		slowsRelease: true, strike: engineDown},
	{Name: "engine-slow", Meaning: "an engine takes three times as long for two seconds", Every: 5 * time.Second,
		strike: engineSlow},
	{Name: "engine-leaving", Meaning: "an engine says that it is leaving, for five seconds", Every: 5 * time.Second,
		strike: engineLeaving},
	{Name: "lose-reply", Meaning: "a plain call runs and its answer is lost", Every: time.Second,
		strike: func(t *Trial) { t.world.plain.LoseReplies.Add(1) }},
	{Name: "refuse-call", Meaning: "a plain server says that it did not run a call", Every: time.Second,
		strike: func(t *Trial) { t.world.plain.Refuse.Add(1) }},
	{Name: "log-down", Meaning: "the log answers nothing for two seconds", Every: 6 * time.Second, strike: logDown},
	{Name: "instance-kill", Meaning: "an instance dies and is restarted", Every: 6 * time.Second,
		slowsRelease: true, strike: instanceKill},
	{Name: "instance-lost", Meaning: "an instance dies and another takes its place", Every: 5 * time.Second,
		slowsRelease: true, strike: instanceLost},
	{Name: "instance-pause", Meaning: "an instance freezes for three seconds", Every: 7 * time.Second,
		slowsRelease: true, strike: instancePause},
	{Name: "instance-drain", Meaning: "an instance is stopped gracefully and replaced", Every: 4 * time.Second,
		planned: true, strike: instanceDrain},
}

// FindFaults reads a list of fault names; "all" means every one.
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
			return nil, errors.Errorf("no fault %q; --list-faults shows them", name)
		}
		found = append(found, FaultList[i])
	}
	return found, nil
}

// playFaults strikes with each fault at random times until ctx ends. Faults
// come from one goroutine, so that two of them never change the instances at
// once; those that last run beside the others.
func (t *Trial) playFaults(ctx context.Context) {
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
		t.counts[fault.Name]++
		fault.strike(t)
		next[i] = time.Now().Add(t.jitter(fault.Every))
	}
}

// jitter spreads a mean pause over a half to one and a half of it.
func (t *Trial) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(mean))
}

// anyEngine draws an engine, anyDecode one of the decode pool.
func (t *Trial) anyEngine() *standin.Engine {
	workers := t.options.Deployment.workers()
	return t.world.engines[workers[t.random.IntN(t.options.Deployment.Prefill+t.options.Deployment.Decode)].name]
}

func (t *Trial) anyDecode() *standin.Engine {
	workers := t.options.Deployment.workers()[t.options.Deployment.Prefill:]
	return t.world.engines[workers[t.random.IntN(t.options.Deployment.Decode)].name]
}

func engineDown(t *Trial) {
	e := t.anyEngine()
	e.Faults.Down.Store(true)
	time.AfterFunc(time.Second, func() { e.Faults.Down.Store(false) })
}

func engineSlow(t *Trial) {
	const threefold = 300
	e := t.anyEngine()
	e.Faults.Slow.Store(threefold)
	time.AfterFunc(2*time.Second, func() { e.Faults.Slow.Store(0) })
}

func engineLeaving(t *Trial) {
	e := t.anyEngine()
	e.Faults.Leaving.Store(true)
	time.AfterFunc(5*time.Second, func() { e.Faults.Leaving.Store(false) })
}

func logDown(t *Trial) {
	t.world.log.Down.Store(true)
	time.AfterFunc(2*time.Second, func() { t.world.log.Down.Store(false) })
}

func (t *Trial) anyNode() *node {
	nodes := t.running()
	return nodes[t.random.IntN(len(nodes))]
}

// instanceKill replaces a dead instance by a new run of the same name.
func instanceKill(t *Trial) {
	n := t.anyNode()
	n.kill()
	t.mustStart(n.name, n.zone)
}

// instanceLost starts a replacement under a new name; the list no longer
// shows the dead one.
func instanceLost(t *Trial) {
	n := t.anyNode()
	t.remove(n)
	n.kill()
	t.world.list.Remove(n.name)
	t.mustStart(t.nextName())
}

const pauseTime = 3 * time.Second

func instancePause(t *Trial) {
	n := t.anyNode()
	t.background.Go(func() { n.pause(pauseTime) })
}

// instanceDrain starts a replacement under a new name, then stops gracefully.
func instanceDrain(t *Trial) {
	n := t.anyNode()
	t.mustStart(t.nextName())
	t.remove(n)
	t.world.list.Leaving(n.name)
	t.background.Go(func() {
		defer t.world.list.Remove(n.name)
		if err := n.shutdown(); err != nil {
			panic("trial: " + err.Error())
		}
	})
}

func (t *Trial) mustStart(name, zone string) {
	if err := t.startNode(name, zone); err != nil {
		panic("trial: replacement does not start: " + err.Error())
	}
}
