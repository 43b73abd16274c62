package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/client"
	"github.com/mastwheel/mastwheel/reason"
)

func reasonOf(text string) reason.Reason { return reason.Reason(text) }

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "show the address of an instance that a caller in the zone should use",
		Flags: []cli.Flag{addressFlag(), zoneFlag(), jsonFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			c := client.New(command.StringSlice("address"), command.String("zone"))
			entry, err := c.Entry(ctx)
			if err != nil {
				return err
			}
			out := command.Root().Writer
			if command.Bool("json") {
				printJSON(out, entry)
				return nil
			}
			fmt.Fprintf(out, "%s (%s, %s), to be kept %d s\n", entry.Address, entry.Instance, entry.Zone, entry.KeepSeconds)
			return nil
		},
	}
}

func sendCommand() *cli.Command {
	return &cli.Command{
		Name:      "send",
		Usage:     "send a text file as a prompt and stream the answer",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			addressFlag(), zoneFlag(),
			&cli.StringFlag{Name: "model", Usage: "`MODEL` to use", Required: true},
			&cli.IntFlag{Name: "max-tokens", Usage: "length of the answer, in tokens", Value: 64},
			&cli.StringFlag{Name: "team", Usage: "`TEAM` of the caller"},
		},
		Action: runSend,
	}
}

func runSend(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return errors.New("send: give one FILE")
	}
	prompt, err := os.ReadFile(command.Args().First())
	if err != nil {
		return errors.Wrap(err, "send")
	}
	out := command.Root().Writer
	c := client.New(command.StringSlice("address"), command.String("zone"))
	result := c.Complete(ctx, client.Completion{
		Model: command.String("model"), Prompt: string(prompt),
		MaxTokens: command.Int("max-tokens"), Team: command.String("team"),
		OnToken: func(text string) { fmt.Fprint(out, text) },
	})
	fmt.Fprintln(out)
	fmt.Fprintf(command.Root().ErrWriter, "request %s: %s %s, %d tokens, first after %d ms\n",
		result.RequestID, result.Outcome, result.Reason, result.Tokens, result.FirstToken.Milliseconds())
	if result.Outcome != reason.Done {
		return errors.Errorf("send: %s (%s)", result.Outcome, result.Reason)
	}
	return nil
}
