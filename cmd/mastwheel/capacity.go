package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of each mechanism per unit of size, and calculate the size to design for",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.BoolFlag{Name: "page", Usage: "print the text of docs/CAPACITY.md"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			out := command.Root().Writer
			slopes, err := capacity.Run(func(name string) { fmt.Fprintln(command.Root().ErrWriter, "measuring", name) })
			if err != nil {
				return err
			}
			if command.Bool("json") {
				printJSON(out, slopes)
				return nil
			}
			if command.Bool("page") {
				return capacity.WritePage(out, slopes)
			}
			for _, s := range slopes {
				fmt.Fprintf(out, "%-18s %12.1f %s + %10.2f %s per %s (spread %.0f%%)\n",
					s.Name, s.Fixed, s.Unit, s.Each, s.Unit, s.Per, 100*s.Spread)
			}
			return nil
		},
	}
}
