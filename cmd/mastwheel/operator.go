package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/httpjson"
	"github.com/mastwheel/mastwheel/operator"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/trace"
)

// getJSON gets a path of the operators' interface and decodes its response into
// a value.
func getJSON(ctx context.Context, command *cli.Command, path string, into any) error {
	c := httpjson.New(command.String("token"))
	defer c.Close()
	status, raw, err := c.Do(ctx, http.MethodGet, "http://"+command.String("operator")+path, nil, into)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", path, status, strings.TrimSpace(string(raw)))
	}
	return nil
}

func printRows(out io.Writer, header []string, fill func(add func([]string) error) error) error {
	writer := tablewriter.NewWriter(out)
	writer.Header(header)
	if err := fill(func(row []string) error { return writer.Append(row) }); err != nil {
		return errors.Wrap(err, "print table")
	}
	return errors.Wrap(writer.Render(), "print table")
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show an instance, its siblings and its backend servers",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			var status operator.Status
			if err := getJSON(ctx, command, operator.PathStatus, &status); err != nil {
				return err
			}
			if command.Bool("json") {
				printJSON(command.Root().Writer, status)
				return nil
			}
			return printStatus(command.Root().Writer, status)
		},
	}
}

func printStatus(out io.Writer, s operator.Status) error {
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.Why
	}
	fmt.Fprintf(out, "%s in %s, %s, up %s, table revision %d (%s), %d requests in flight\n",
		s.Self.Member(), s.Self.Zone, state, s.Self.Uptime.Round(time.Second), s.Self.Revision, s.Hash, s.Self.InFlight)
	header := []string{"sibling", "zone", "state", "callers", "revision", "in flight"}
	err := printRows(out, header, func(add func([]string) error) error {
		for _, sibling := range s.Siblings {
			row := []string{
				sibling.Member().String(), sibling.Zone, string(sibling.State), sibling.Caller,
				fmt.Sprint(sibling.Revision), fmt.Sprint(sibling.InFlight),
			}
			if err := add(row); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	header = []string{"backend server", "pool", "zone", "breaker", "in flight here", "waiting tokens", "free pieces", "leaving", "steward"}
	return printRows(out, header, func(add func([]string) error) error {
		for _, b := range s.Backends {
			row := []string{
				b.Name, b.Pool, b.Zone, b.Breaker, fmt.Sprint(b.InFlight), fmt.Sprint(b.WaitingTokens),
				fmt.Sprint(b.FreePieces), fmt.Sprint(b.Leaving), b.Steward,
			}
			if err := add(row); err != nil {
				return err
			}
		}
		return nil
	})
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show how a request was routed, from an instance's records or its logs",
		ArgsUsage: "REQUEST-ID",
		Flags:     append(makeOperatorFlags(false), logFlag()),
		Action: func(ctx context.Context, command *cli.Command) error {
			if files := command.StringSlice(flagLog); len(files) > 0 && command.Args().Len() == 1 {
				return explainFromLogs(command, files)
			}
			if command.Args().Len() != 1 {
				return errors.New("explain: give one REQUEST-ID")
			}
			if command.String("operator") == "" {
				return errors.New("explain: give --operator, or --log with the log files")
			}
			var raw json.RawMessage
			if err := getJSON(ctx, command, operator.PathRequests+"/"+command.Args().First(), &raw); err != nil {
				return err
			}
			if command.Bool("json") {
				printJSON(command.Root().Writer, raw)
				return nil
			}
			var record trace.Request
			if err := json.Unmarshal(raw, &record); err != nil {
				return errors.Wrap(err, "decode record of request")
			}
			printRecord(command.Root().Writer, &record)
			return nil
		},
	}
}

func printRecord(out io.Writer, r *trace.Request) {
	fmt.Fprintf(out, "request %s, service %s, team %s, home %s, table revision %d\n", r.ID, r.Service, r.Team, r.Home, r.Revision)
	fmt.Fprintf(out, "outcome %s %s, prompt %d tokens, answer %d tokens\n", r.Outcome, r.Reason, r.Prompt, r.Tokens)
	for _, step := range r.Steps {
		fmt.Fprintf(out, "%9.3f ms  attempt %d  %-12s %s %s\n",
			float64(step.At)/1000, step.Attempt, step.State, step.Server, step.Reason)
		if step.Choice != nil {
			printDecision(out, step.Choice)
		}
	}
}

func printDecision(out io.Writer, d *route.Decision) {
	for _, rated := range d.Rated {
		if rated.DroppedBy != "" {
			fmt.Fprintf(out, "%16s  %-20s dropped by %s\n", "", rated.Name, rated.DroppedBy)
			continue
		}
		mark := " "
		if rated.Name == d.Pick {
			mark = "*"
		}
		parts := make([]string, 0, len(rated.Parts))
		for _, part := range rated.Parts {
			parts = append(parts, fmt.Sprintf("%s %.2f", part.Scorer, part.Score))
		}
		fmt.Fprintf(out, "%16s%s %-20s %.3f = %s\n", "", mark, rated.Name, rated.Total, strings.Join(parts, ", "))
	}
}
