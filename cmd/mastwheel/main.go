// Command mastwheel is the operators' client, the load generator and the local
// trial.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"
)

// version is set by the release build.
var version = "0.1.0-dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mastwheel:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                  "mastwheel",
		Usage:                 "inspect and operate the mastwheel router",
		Version:               version,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			entryCommand(),
			sendCommand(),
			tableCommand(),
			statusCommand(),
			explainCommand(),
			logCommand(),
			loadCommand(),
			tryCommand(),
			standinsCommand(),
			keysCommand(),
			capacityCommand(),
			versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			fmt.Fprintln(command.Root().Writer, version)
			return nil
		},
	}
}

// The flags below are shared by several commands.

func addressFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "address", Usage: "caller `ADDRESS` of an instance, ip:port; may be repeated",
		Sources: cli.EnvVars("MASTWHEEL_ADDRESS"), Required: true,
	}
}

func operatorFlags() []cli.Flag { return makeOperatorFlags(true) }

// makeOperatorFlags returns the flags of a command that queries the operators'
// interface of an instance. The address is mandatory if required is set.
func makeOperatorFlags(required bool) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "operator", Usage: "operator `ADDRESS` of an instance, ip:port",
			Sources: cli.EnvVars("MASTWHEEL_OPERATOR"), Required: required,
		},
		&cli.StringFlag{
			Name: "token", Usage: "bearer `TOKEN` of the operators' interface",
			Sources: cli.EnvVars("MASTWHEEL_TOKEN"),
		},
		jsonFlag(),
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

func zoneFlag() cli.Flag {
	return &cli.StringFlag{Name: "zone", Usage: "the caller's availability `ZONE`"}
}
