// Package logging configures klog to write one JSON object per line.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Setup writes klog's structured log entries to out as JSON, up to a verbosity.
func Setup(out io.Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return errors.Wrap(err, "set log verbosity")
	}
	// klog maps its verbosity to negative slog levels and filters by itself.
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(handler))
	return nil
}

// Silent discards the lines that an HTTP library logs by itself. Relevant events
// are logged by the code that handles them.
type Silent struct{}

// Printf implements fasthttp.Logger.
func (Silent) Printf(string, ...any) {}
