package main

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/explain"
)

// flagLog is the name of the flag for instances' log files.
const flagLog = "log"

func logFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagLog, Usage: "read instances' log `FILE`s instead of querying an instance; - is standard input"}
}

// explainFromLogs prints a request's log lines, in order, from the log files of
// instances.
func explainFromLogs(command *cli.Command, files []string) error {
	request := command.Args().First()
	return withLogs(command, files, func(logs io.Reader) error {
		lines, err := explain.Read(logs, request)
		if err != nil {
			return err
		}
		return explain.Write(command.Root().Writer, request, lines)
	})
}

// withLogs calls read with the concatenated log files; "-" is standard input.
func withLogs(command *cli.Command, files []string, read func(logs io.Reader) error) error {
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, command.Root().Reader)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log file")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return read(io.MultiReader(logs...))
}
