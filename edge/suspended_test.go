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

// suspend advances the clock as a suspension of the machine does, for the duration of a test.
func suspend(t *testing.T, lasts time.Duration) {
	clock.Suspend(lasts)
	t.Cleanup(func() { clock.Suspend(-lasts) })
}

// suspendedEngines are engines that suspend the instance just before it gives an order.
type suspendedEngines struct {
	*fakeEngines
	t *testing.T
}

// SetRole implements Engines.
func (e suspendedEngines) SetRole(ctx context.Context, server *registry.Entry, decide func(EngineStatus) (RoleOrder, bool)) error {
	suspend(e.t, 5*time.Second)
	return e.fakeEngines.SetRole(ctx, server, decide)
}

// The lease expired during the suspension, and another instance may hold it.
func TestAHolderThatWasSuspendedGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := enginesOf(2, 1)
		in := bareInstance("a", new(claims), engines)
		in.deps.Engines = suspendedEngines{engines, t}
		in.readEngines(engines)
		err := in.orders.sendOrder(context.Background(), "model", roles.Change{Engine: "p0", Role: table.RoleDecode})
		if err == nil || engines.hasOrderFrom("a") {
			t.Errorf("an order was given under an expired lease: %v", err)
		}
	})
}

// The ages of siblings, list and table include the time of a suspension.
func TestKnownStateIsOldAfterASuspension(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		in := f.instances[0]
		ageOf := func(at time.Time) time.Duration { return clock.Since(at) }
		if age := ageOf(in.Confirmed()); age > time.Second {
			t.Fatalf("the list was confirmed %v ago", age)
		}
		suspend(t, 20*time.Second)
		if age := ageOf(in.Confirmed()); age < 19*time.Second {
			t.Errorf("right after a suspension of 20 s the list was confirmed %v ago", age)
		}
		if age := ageOf(in.TableConfirmed()); age < 19*time.Second {
			t.Errorf("right after a suspension of 20 s the table was confirmed %v ago", age)
		}
		for _, sibling := range in.members.View().Siblings {
			if age := ageOf(sibling.LastContact); age < 19*time.Second {
				t.Errorf("the last contact with %s was %v ago", sibling.Name, age)
			}
		}
		// All siblings are in contact again.
		time.Sleep(2 * time.Second)
		for _, sibling := range in.members.View().Siblings {
			if sibling.State != member.Alive {
				t.Errorf("%s is %s", sibling.Name, sibling.State)
			}
		}
		if age := ageOf(in.Confirmed()); age > 2*time.Second {
			t.Errorf("two seconds later the list was confirmed %v ago", age)
		}
	})
}

// What this instance learnt before a suspension is reported to other instances with its true age.
func TestReportedAgesIncludeASuspension(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		in := f.instances[0]
		suspend(t, 20*time.Second)
		if message := in.message(clock.Now()); *message.ServersContactAge < 19*time.Second || *message.TableContactAge < 19*time.Second || message.From.Uptime < 24*time.Second {
			t.Errorf("reported list age %v, table age %v, uptime %v", *message.ServersContactAge, *message.TableContactAge, message.From.Uptime)
		}
	})
}
