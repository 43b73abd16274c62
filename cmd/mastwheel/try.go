package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/platform/standin"
	"github.com/mastwheel/mastwheel/trial"
)

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run instances, stand-ins and sample traffic in one process, and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "cooperativa or camara", Value: "cooperativa"},
			&cli.IntFlag{Name: "instances", Usage: "number of instances", Value: 3},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the traffic", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the traffic and the faults", Value: 1},
			&cli.FloatFlag{Name: "load", Usage: "traffic as a multiple of the deployment's default", Value: 1},
			&cli.StringFlag{Name: "faults", Usage: "`LIST` of faults, or all"},
			&cli.StringFlag{Name: "without", Usage: "`LIST` of protections to switch off: " + strings.Join(trial.ProtectionNames(), ", ")},
			&cli.FloatFlag{Name: "leave", Usage: "fraction of callers that disconnect early; 0 for the deployment's default"},
			&cli.DurationFlag{Name: "call-time", Usage: "duration of a plain call; 0 for the deployment's default"},
			&cli.IntFlag{Name: "answer", Usage: "mean length of an answer, in tokens; 0 for the deployment's default"},
			&cli.BoolFlag{Name: "list-faults", Usage: "list the faults and exit"},
			&cli.BoolFlag{Name: "platform", Usage: "run against the stand-in of the users' platform and its callers; uses --instances, --duration, --seed and --faults"},
			&cli.BoolFlag{Name: "no-traffic", Usage: "send no sample traffic"},
			jsonFlag(),
		},
		Action: runTry,
	}
}

const maxInstances = 64

func runTry(ctx context.Context, command *cli.Command) error {
	out := command.Root().Writer
	if command.Bool("list-faults") {
		for _, fault := range trial.FaultList {
			fmt.Fprintf(out, "%-16s %s\n", fault.Name, fault.Meaning)
		}
		return nil
	}
	options, err := tryOptions(command)
	if err != nil {
		return err
	}
	if command.Bool("platform") {
		return tryPlatform(ctx, out, options, command.Bool("json"))
	}
	if err := logging.Setup(io.Discard, 0); err != nil {
		return err
	}
	t, err := trial.Start(options)
	if err != nil {
		return err
	}
	defer t.Stop()
	printAddresses(out, t.Addresses(), command.Bool("json"))
	summary, err := t.Run(ctx)
	if err != nil {
		return err
	}
	printTrial(out, summary, command.Bool("json"))
	if summary.Violations > 0 {
		return errors.Errorf("%d violations", summary.Violations)
	}
	return nil
}

// tryPlatform runs instances against the stand-in of the platform.
func tryPlatform(ctx context.Context, out io.Writer, options trial.Options, asJSON bool) error {
	if err := logging.Setup(io.Discard, 0); err != nil {
		return err
	}
	summary, err := standin.RunTrial(ctx, standin.TrialOptions{
		Instances: options.Instances, Duration: options.Duration, Seed: options.Seed, Faults: len(options.Faults) > 0, Crashes: len(options.Faults) > 0,
	})
	if err != nil {
		return err
	}
	if asJSON {
		printJSON(out, summary)
	} else {
		fmt.Fprintf(out, "requests            %d: %d served, %d refused as not run, %d without an answer or failed\n",
			summary.Requests, summary.Served, summary.Refused, summary.Failed)
		fmt.Fprintf(out, "faults              %d\n", summary.Faults)
		fmt.Fprintf(out, "violations          %d\n", len(summary.Violations))
		for _, violation := range summary.Violations {
			fmt.Fprintf(out, "  %s\n", violation)
		}
	}
	if len(summary.Violations) > 0 {
		return errors.Errorf("%d violations", len(summary.Violations))
	}
	return nil
}

func tryOptions(command *cli.Command) (trial.Options, error) {
	deployment, err := trial.FindDeployment(command.String("deployment"))
	if err != nil {
		return trial.Options{}, err
	}
	faults, err := trial.FindFaults(command.String("faults"))
	if err != nil {
		return trial.Options{}, err
	}
	instances := command.Int("instances")
	if instances < 1 || instances > maxInstances {
		return trial.Options{}, errors.Errorf("--instances: %d is outside 1 to %d", instances, maxInstances)
	}
	protect, err := trial.ProtectionsExcept(command.String("without"))
	if err != nil {
		return trial.Options{}, err
	}
	if callTime := command.Duration("call-time"); callTime > 0 {
		deployment.PlainDuration = callTime
	}
	if answer := command.Int("answer"); answer > 0 {
		deployment.Traffic.MeanAnswer = answer
	}
	options := trial.Options{
		Protect: protect, DisconnectShare: command.Float("leave"),
		Deployment: deployment, Instances: instances, Duration: command.Duration("duration"),
		Seed: command.Uint64("seed"), Traffic: !command.Bool("no-traffic"), Load: command.Float("load"), Faults: faults,
	}
	if !command.Bool("json") {
		options.Progress = progressLine(command.Root().ErrWriter)
	}
	return options, nil
}

// progressLine returns a function that shows the progress on one line, which it
// overwrites at most every 200 ms.
func progressLine(out io.Writer) func(ended, total int) {
	var last time.Time
	return func(ended, total int) {
		if time.Since(last) < 200*time.Millisecond && ended < total {
			return
		}
		last = time.Now()
		fmt.Fprintf(out, "\r%d of %d requests ended", ended, total)
		if ended == total {
			fmt.Fprintln(out)
		}
	}
}

func printAddresses(out io.Writer, addresses trial.Addresses, asJSON bool) {
	if asJSON {
		printJSON(out, addresses)
		return
	}
	names := make([]string, 0, len(addresses.Callers))
	for name := range addresses.Callers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "%-16s callers %-21s operators %s\n", name, addresses.Callers[name], addresses.Operators[name])
	}
	fmt.Fprintf(out, "platform %s, operators' token %s\n", addresses.Platform, addresses.Token)
}

func printTrial(out io.Writer, s *trial.Summary, asJSON bool) {
	if asJSON {
		printJSON(out, s)
		return
	}
	printSummary(out, s.Summary)
	fmt.Fprintf(out, "wasted prefill      %.2f%% of prompt tokens read\n", 100*s.WastedPrefill)
	fmt.Fprintf(out, "held after departure %d callers, %.3f piece-seconds each, p99 %.0f ms, worst %.0f ms\n",
		s.HeldAfter.Callers, s.HeldAfter.PieceSeconds, s.HeldAfter.P99Millis, s.HeldAfter.WorstMillis)
	fmt.Fprintf(out, "violations          %d\n", s.Violations)
	for _, violation := range s.Found {
		fmt.Fprintf(out, "  %s: %s\n", violation.Promise, violation.Detail)
	}
}

// printJSON prints a value as JSON on one line.
func printJSON(out io.Writer, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("mastwheel: cannot encode output: " + err.Error())
	}
	fmt.Fprintf(out, "%s\n", encoded)
}
