package trial

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/request"
)

// A short trial with every fault enabled finds no violation.
func TestTrialFindsNoViolation(t *testing.T) {
	for _, deployment := range []string{"cooperativa", "camara"} {
		t.Run(deployment, func(t *testing.T) {
			summary := runTrial(t, Options{
				Deployment: Deployments[deployment], Instances: 3, Duration: 4 * time.Second,
				Seed: 7, Traffic: true, Load: 0.5, Faults: FaultList, Protect: request.AllProtections(),
			})
			if summary.Violations > 0 {
				t.Fatalf("violations: %v", summary.Found)
			}
			if summary.Requests == 0 || summary.Done == 0 {
				t.Fatalf("nothing was served: %+v", summary)
			}
		})
	}
}

// An instance that was restarted just before the check has not read its table yet, which
// is no violation.
func TestCheckWaitsForRestartedInstance(t *testing.T) {
	trial, err := Start(Options{Deployment: Deployments["camara"], Instances: 3, Protect: request.AllProtections()})
	if err != nil {
		t.Fatal(err)
	}
	defer trial.Stop()
	instanceKill(trial)
	if found := trial.check(load.Run(t.Context(), load.Options{}), HeldAfter{}); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}

// TestInstanceThatIsNotReadyIsNoDifferenceOfTables guards against an instance that does not start being
// reported as a change of the table that is not in force.
func TestInstanceThatIsNotReadyIsNoDifferenceOfTables(t *testing.T) {
	trial, err := Start(Options{Deployment: Deployments["camara"], Instances: 2, Protect: request.AllProtections()})
	if err != nil {
		t.Fatal(err)
	}
	defer trial.Stop()
	instanceKill(trial)
	var broken []string
	trial.checkTables(func(promise, _ string, _ ...any) { broken = append(broken, promise) }, 0)
	if len(broken) != 1 || broken[0] != promiseReady {
		t.Errorf("broken: %v", broken)
	}
}

func runTrial(t *testing.T, options Options) *Summary {
	t.Helper()
	trial, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	defer trial.Stop()
	summary, err := trial.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return summary
}

func TestFaultNames(t *testing.T) {
	if _, err := FindFaults("break-stream,nope"); err == nil {
		t.Fatal("an unknown fault was accepted")
	}
	all, err := FindFaults("all")
	if err != nil || len(all) != len(FaultList) {
		t.Fatalf("all is %d faults, %v", len(all), err)
	}
}
