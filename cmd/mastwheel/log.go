package main

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/explain"
)

// logCommand returns the command that lists or counts requests in instances' logs.
func logCommand() *cli.Command {
	return &cli.Command{
		Name:      "log",
		Usage:     "list ended requests from instances' logs",
		ArgsUsage: "FILE...",
		Description: "Reads the log files of any number of instances; - is standard input. Instances log one in\n" +
			"fifty of the served requests, and all others up to a limit per second.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "reason", Usage: "only requests that ended with `REASON`"},
			&cli.StringFlag{Name: "outcome", Usage: "only requests with `OUTCOME`: done, not_run or unknown"},
			&cli.StringFlag{Name: "service", Usage: "only requests to `SERVICE`"},
			&cli.StringFlag{Name: "route", Usage: "only requests on `ROUTE`"},
			&cli.StringFlag{Name: "server", Usage: "only requests that were sent to backend server `ID`, or to one run of its process"},
			&cli.StringFlag{Name: "revision", Usage: "only requests routed by revision `N` of the table"},
			&cli.BoolFlag{Name: "count", Usage: "count requests by service, outcome, status and reason"},
		},
		Action: runLog,
	}
}

func runLog(_ context.Context, command *cli.Command) error {
	files := command.Args().Slice()
	if len(files) == 0 {
		return errors.New("name at least one log file, or - for standard input")
	}
	filter := explain.Filter{
		Reason: command.String("reason"), Outcome: command.String("outcome"), Service: command.String("service"),
		Route: command.String("route"), Server: command.String("server"), Revision: command.String("revision"),
	}
	return withLogs(command, files, func(logs io.Reader) error {
		found, err := explain.Search(logs, filter)
		if err != nil {
			return err
		}
		if command.Bool("count") {
			return explain.WriteCounts(command.Root().Writer, found)
		}
		return explain.WriteEnded(command.Root().Writer, found)
	})
}
