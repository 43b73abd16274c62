package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/trial"
)

func standinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "run only the stand-ins of a deployment, for daemons that run as separate processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "cooperativa or camara", Value: "cooperativa"},
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the log and the instance list", Value: "127.0.0.1:7700"},
			&cli.StringSliceFlag{Name: "instance", Usage: "`NAME,ZONE,PEER-ADDRESS` to put on the instance list; may be repeated"},
		},
		Action: runStandins,
	}
}

func runStandins(ctx context.Context, command *cli.Command) error {
	deployment, err := trial.FindDeployment(command.String("deployment"))
	if err != nil {
		return err
	}
	// The flag library splits values at commas, so each triple arrives as three
	// values.
	parts := command.StringSlice("instance")
	if len(parts)%3 != 0 {
		return errors.Errorf("--instance: %q is not a list of NAME,ZONE,PEER-ADDRESS", strings.Join(parts, ","))
	}
	var entries []instancelist.Entry
	for i := 0; i < len(parts); i += 3 {
		entries = append(entries, instancelist.Entry{
			Name: parts[i], Zone: parts[i+1], Peer: parts[i+2], State: instancelist.Live,
		})
	}
	standins, err := trial.StartStandins(deployment, command.String("platform"), entries)
	if err != nil {
		return err
	}
	defer standins.Stop()
	printJSON(command.Root().Writer, standins.Addresses())
	<-ctx.Done()
	return nil
}

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:      "keys",
		Usage:     "create keys for the connections between instances of a trial, valid for one day",
		ArgsUsage: "DIRECTORY",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return errors.New("keys: give one DIRECTORY")
			}
			return writeKeys(command.Args().First())
		},
	}
}

func writeKeys(directory string) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	files, err := authority.PEM("trial")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return errors.Wrap(err, "create key directory")
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), content, 0o600); err != nil {
			return errors.Wrap(err, "write key file")
		}
	}
	return nil
}
