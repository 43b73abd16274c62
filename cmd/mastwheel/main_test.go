package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/trial"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"mastwheel": main})
}

// TestScripts runs the command against a local trial of two instances without
// traffic.
func TestScripts(t *testing.T) {
	system, err := trial.Start(trial.Options{
		Deployment: trial.Deployments["cooperativa"], Instances: 2, Seed: 1, Protect: request.AllProtections(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(system.Stop)
	addresses := system.Addresses()
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("MASTWHEEL_ADDRESS", addresses.Callers["sabana-1"])
			env.Setenv("MASTWHEEL_OPERATOR", addresses.Operators["heredia-1"])
			env.Setenv("MASTWHEEL_TOKEN", addresses.Token)
			return nil
		},
	})
}
