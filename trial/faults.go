package trial

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/standin"
)

// Fault is one kind of trouble that a trial can make.
type Fault struct {
	Name    string
	Meaning string
	// Every is the mean pause between two of the kind.
	Every  time.Duration
	strike func(ctx context.Context, t *Trial)
}

// FaultList lists the faults by name.
var FaultList = []Fault{
	{"break-stream", "a decode stream ends early", 2 * time.Second, func(_ context.Context, t *Trial) { t.anyDecode().Faults.BreakStreams.Add(1) }},
	{"repeat-token", "tokens arrive twice", 2 * time.Second, func(_ context.Context, t *Trial) { t.anyDecode().Faults.RepeatTokens.Add(3) }},
	{"foreign-token", "tokens of another request arrive", 2 * time.Second, func(_ context.Context, t *Trial) { t.anyDecode().Faults.ForeignTokens.Add(3) }},
	{"stall-transfer", "a KV transfer hangs", 2 * time.Second, func(_ context.Context, t *Trial) { t.anyDecode().Faults.StallImports.Add(1) }},
	{"lose-cancel", "a cancel takes effect and its reply is lost", time.Second, func(_ context.Context, t *Trial) { t.anyDecode().Faults.LoseCancelReplies.Add(2) }},
	{"engine-crash", "an engine loses its memory", 4 * time.Second, func(_ context.Context, t *Trial) { t.anyEngine().Crash() }},
	{"engine-down", "an engine is unreachable for a second", 5 * time.Second, engineDown},
	{"engine-slow", "an engine takes three times as long for two seconds", 5 * time.Second, engineSlow},
	{"engine-leaving", "an engine says that it is leaving, for two seconds", 6 * time.Second, engineLeaving},
	{"lose-reply", "a plain call runs and its answer is lost", time.Second, func(_ context.Context, t *Trial) { t.world.plain.LoseReplies.Add(1) }},
	{"refuse-call", "a plain server says that it did not run a call", time.Second, func(_ context.Context, t *Trial) { t.world.plain.Refuse.Add(1) }},
	{"log-down", "the log answers nothing for two seconds", 6 * time.Second, logDown},
	{"instance-kill", "an instance dies and is replaced", 6 * time.Second, instanceKill},
	{"instance-pause", "an instance freezes for three seconds", 7 * time.Second, instancePause},
	{"instance-drain", "an instance is stopped gracefully and replaced", 9 * time.Second, instanceDrain},
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
		if !sleepCtx(ctx, time.Until(next[i])) {
			return
		}
		fault := t.options.Faults[i]
		t.counts[fault.Name]++
		fault.strike(ctx, t)
		next[i] = time.Now().Add(t.jitter(fault.Every))
	}
}

// jitter spreads a mean pause over a half to one and a half of it.
func (t *Trial) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(mean))
}

func sleepCtx(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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

func engineDown(_ context.Context, t *Trial) {
	e := t.anyEngine()
	e.Faults.Down.Store(true)
	time.AfterFunc(time.Second, func() { e.Faults.Down.Store(false) })
}

func engineSlow(_ context.Context, t *Trial) {
	const threefold = 300
	e := t.anyEngine()
	e.Faults.Slow.Store(threefold)
	time.AfterFunc(2*time.Second, func() { e.Faults.Slow.Store(0) })
}

func engineLeaving(_ context.Context, t *Trial) {
	e := t.anyEngine()
	e.Faults.Leaving.Store(true)
	time.AfterFunc(2*time.Second, func() { e.Faults.Leaving.Store(false) })
}

func logDown(_ context.Context, t *Trial) {
	t.world.log.Down.Store(true)
	time.AfterFunc(2*time.Second, func() { t.world.log.Down.Store(false) })
}

func (t *Trial) anyNode() *node {
	nodes := t.running()
	return nodes[t.random.IntN(len(nodes))]
}

// instanceKill replaces a dead instance by a new run of the same name.
func instanceKill(_ context.Context, t *Trial) {
	n := t.anyNode()
	n.kill()
	t.mustStart(n.name, n.zone)
}

const pauseTime = 3 * time.Second

func instancePause(_ context.Context, t *Trial) {
	n := t.anyNode()
	t.background.Go(func() { n.pause(pauseTime) })
}

// instanceDrain starts a replacement under a new name, then stops gracefully.
func instanceDrain(_ context.Context, t *Trial) {
	n := t.anyNode()
	t.mustStart(t.nextName())
	t.remove(n)
	t.background.Go(func() {
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
