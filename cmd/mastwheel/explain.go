package main

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/explain"
)

// flagLog names log files of instances.
const flagLog = "log"

func logFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagLog, Usage: "read log `FILE`s of instances instead of asking one; - is standard input"}
}

// explainFromLogs tells a request's story from the log lines of instances.
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

// withLogs reads log files one after the other; "-" is standard input.
func withLogs(command *cli.Command, files []string, read func(logs io.Reader) error) error {
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, command.Root().Reader)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return read(io.MultiReader(logs...))
}
