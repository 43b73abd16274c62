package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/daemon"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/platform"
)

// platformCommand returns the command that runs an instance on the platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one instance on the users' platform, with its settings from $" + platform.SettingsVariable,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.IntFlag{Name: "verbosity", Usage: "log `LEVEL`: 0 for refusals, failures and the instance's state, 2 for every request"},
			&cli.StringFlag{Name: "advertise-siblings", Usage: "`IP:PORT` at which siblings reach this instance, if it is not the address it listens on for them"},
			&cli.StringFlag{Name: "source-address", Usage: "local `IP` address of connections to backend servers, on a machine that has several"},
			&cli.BoolFlag{Name: "roles-by-load", Usage: "change engines between prefill and decode with the demand, for demand that shifts for minutes; the same at all instances"},
			&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics at this `PORT`; 0 for none"},
		},
		Action: runPlatform,
	}
}

// logQueueLines bounds the log lines that wait for a slow reader of the output.
// It holds a few seconds of log lines under load, in less than a megabyte.
const logQueueLines = 2000

func runPlatform(ctx context.Context, command *cli.Command) error {
	// A signal that comes while the instance starts must not end the process unless it stops it.
	hangups := watchHangups()
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	output := logging.NewBounded(os.Stdout, logQueueLines)
	if err := logging.Setup(output, command.Int("verbosity")); err != nil {
		return err
	}
	defer output.Flush(daemon.LogFlushTimeout)
	defer context.AfterFunc(stop, func() { klog.InfoS("Stop signal received") })()
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if command.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	limitMemory(settings.MemoryBytes)
	// The instance keeps running when the reader of its output has exited.
	signal.Ignore(syscall.SIGPIPE)
	go handleHangups(hangups)
	instance, err := daemon.NewPlatform(settings, daemon.PlatformOptions{
		MetricsPort: command.Int("metrics-port"), AdvertiseSiblings: command.String("advertise-siblings"),
		RolesByLoad: command.Bool("roles-by-load"), SourceAddress: command.String("source-address"),
	})
	if err != nil {
		return err
	}
	klog.InfoS("Start", "instance", settings.Name, "zone", settings.Zone, "callers", settings.Callers,
		"siblings", settings.Siblings, "store", settings.Store)
	return instance.Run(ctx, stop)
}

const (
	// memoryShare is the fraction of the instance's memory limit that is given to
	// the Go runtime as its limit. The garbage collector runs more often as memory
	// use approaches it. The rest is for stacks, sockets and memory that the
	// runtime does not count.
	memoryShare = 0.6
	// gcPercent is the growth of the heap over the live data, in percent, that
	// starts a garbage collection. It is high because memory is cheaper than
	// processor time on these instances.
	gcPercent = 300
)

func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare))
	}
}

// watchHangups keeps SIGHUP from ending the process, from its return on.
func watchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// handleHangups checks the settings on every SIGHUP and logs the result. It does not apply them: the addresses and bounds of
// a running instance do not change.
func handleHangups(hangups <-chan os.Signal) {
	for range hangups {
		reload()
	}
}

// reload checks the settings.
func reload() {
	settings, err := platform.LoadSettings()
	if err != nil {
		klog.ErrorS(err, "Reload failed: the settings are unusable; the current settings stay in use")
		return
	}
	klog.InfoS("Reload", "instance", settings.Name)
}
