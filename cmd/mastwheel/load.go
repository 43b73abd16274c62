package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/client"
	"github.com/mastwheel/mastwheel/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop traffic and measure what its callers observe",
		Flags: []cli.Flag{
			addressFlag(), zoneFlag(), jsonFlag(),
			&cli.StringFlag{Name: "model", Usage: "`MODEL` to use", Required: true},
			&cli.StringFlag{Name: "service", Usage: "plain `SERVICE` to call"},
			&cli.FloatFlag{Name: "rate", Usage: "model requests per second", Value: 5},
			&cli.FloatFlag{Name: "plain-rate", Usage: "plain calls per second"},
			&cli.DurationFlag{Name: "duration", Usage: "how long requests are sent", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the planned requests", Value: 1},
			&cli.FloatFlag{Name: "prompt", Usage: "median length of a prompt, in tokens", Value: 2200},
			&cli.IntFlag{Name: "answer", Usage: "mean length of an answer, in tokens", Value: 96},
			&cli.StringSliceFlag{Name: "team", Usage: "`TEAM` of the callers; may be repeated", Value: []string{"load"}},
			&cli.IntFlag{Name: "callers", Usage: "number of callers; each selects its own instance address", Value: 8},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	profile := load.Profile{
		Model: command.String("model"), Service: command.String("service"),
		Rate: command.Float("rate"), PlainRate: command.Float("plain-rate"),
		MedianPrompt: command.Float("prompt"), Spread: 0.7, MaxPrompt: 24_000,
		MeanAnswer: max(command.Int("answer"), 1), Templates: 12, TemplateTokens: 1024,
		Teams: command.StringSlice("team"),
	}
	if profile.Service == "" {
		profile.PlainRate = 0
	}
	options := load.Options{
		Profile:  profile,
		Arrivals: load.Plan(profile, command.Duration("duration"), command.Uint64("seed")),
		Targets:  load.DefaultTargets(),
	}
	for range max(command.Int("callers"), 1) {
		options.Callers = append(options.Callers, client.New(command.StringSlice("address"), command.String("zone")))
	}
	out := command.Root().Writer
	if command.Bool("json") {
		printJSON(out, load.Run(ctx, options).Summary())
		return nil
	}
	options.Progress = progressLine(command.Root().ErrWriter)
	printSummary(out, load.Run(ctx, options).Summary())
	return nil
}

func printSummary(out io.Writer, s load.Summary) {
	fmt.Fprintf(out, "requests            %d: %d done, %d not run, %d unknown, %d callers left early\n",
		s.Requests, s.Done, s.NotRun, s.Unknown, s.Left)
	fmt.Fprintf(out, "goodput             %.1f%% of model requests, %.1f a second\n", 100*s.Goodput, s.GoodputPerSecond)
	fmt.Fprintf(out, "first token p95     %.0f ms\n", s.FirstTokenP95)
	fmt.Fprintf(out, "between tokens p95  %.1f ms\n", s.BetweenP95)
	fmt.Fprintf(out, "plain call p95      %.1f ms\n", s.CallP95)
	reasons := make([]string, 0, len(s.Reasons))
	for why := range s.Reasons {
		reasons = append(reasons, string(why))
	}
	sort.Strings(reasons)
	for _, why := range reasons {
		fmt.Fprintf(out, "  %-20s %d\n", why, s.Reasons[reasonOf(why)])
	}
}
