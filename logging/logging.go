// Package logging makes klog write one JSON object a line.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Setup sends klog's structured lines to out as JSON, up to that verbosity.
func Setup(out io.Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return errors.Wrap(err, "set log verbosity")
	}
	// klog maps its verbosity to negative levels; what passes is klog's choice.
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(handler))
	return nil
}

// Silent drops the lines that an HTTP library writes by itself; what matters is
// logged where it is decided.
type Silent struct{}

// Printf implements fasthttp.Logger.
func (Silent) Printf(string, ...any) {}
