package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/roles"
	"github.com/mastwheel/mastwheel/table"
)

// suspend has the clock go on as after a suspension, for the time of a test.
func suspend(t *testing.T, lasts time.Duration) {
	clock.Suspend(lasts)
	t.Cleanup(func() { clock.Suspend(-lasts) })
}

// suspendedEngines are engines before which the instance is suspended just when it is
// about to give an order.
type suspendedEngines struct {
	*engines
	t *testing.T
}

// SetRole implements Engines.
func (e suspendedEngines) SetRole(ctx context.Context, server *registry.Entry, decide func(EngineStatus) (RoleOrder, bool)) error {
	suspend(e.t, 5*time.Second)
	return e.engines.SetRole(ctx, server, decide)
}

// The lease had run out meanwhile, and another instance may hold it.
func TestAHolderThatWasSuspendedGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workersOf(2, 1)
		in := candidate("a", new(claims), workers)
		in.deps.Engines = suspendedEngines{workers, t}
		in.see(workers)
		err := in.orders.give(context.Background(), "model", roles.Change{Engine: "p0", Role: table.RoleDecode})
		if err == nil || workers.hasOrderFrom("a") {
			t.Errorf("an order was given under a lease that had run out: %v", err)
		}
	})
}

// Siblings, list and table of before a suspension are as old as after a freeze.
func TestWhatIsBelievedIsOldAfterASuspension(t *testing.T) {
	play(t, 8, func(f *fleet) {
		in := f.instances[0]
		asOld := func(at time.Time) time.Duration { return clock.Since(at) }
		if age := asOld(in.Confirmed()); age > time.Second {
			t.Fatalf("the list was confirmed %v ago", age)
		}
		suspend(t, 20*time.Second)
		if age := asOld(in.Confirmed()); age < 19*time.Second {
			t.Errorf("right after a suspension of 20 s the list was confirmed %v ago", age)
		}
		if age := asOld(in.TableConfirmed()); age < 19*time.Second {
			t.Errorf("right after a suspension of 20 s the table was confirmed %v ago", age)
		}
		for _, sibling := range in.members.View().Siblings {
			if age := asOld(sibling.Heard); age < 19*time.Second {
				t.Errorf("%s was heard %v ago", sibling.Name, age)
			}
		}
		// All are heard again.
		time.Sleep(2 * time.Second)
		for _, sibling := range in.members.View().Siblings {
			if sibling.State != member.Alive {
				t.Errorf("%s is %s", sibling.Name, sibling.State)
			}
		}
		if age := asOld(in.Confirmed()); age > 2*time.Second {
			t.Errorf("two seconds later the list was confirmed %v ago", age)
		}
	})
}

// Others have to be told of what this instance saw last before it was suspended, in its
// true age.
func TestASuspensionIsPartOfTheAgeOfWhatIsTold(t *testing.T) {
	play(t, 3, func(f *fleet) {
		in := f.instances[0]
		suspend(t, 20*time.Second)
		if told := in.message(clock.Now()); *told.ServersHeard < 19*time.Second || *told.TableHeard < 19*time.Second || told.From.Uptime < 24*time.Second {
			t.Errorf("told: list %v, table %v, uptime %v", *told.ServersHeard, *told.TableHeard, told.From.Uptime)
		}
	})
}
