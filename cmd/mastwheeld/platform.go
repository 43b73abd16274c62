package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/daemon"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/platform"
)

// platformCommand runs an instance on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one instance on the users' platform, with its settings from $" + platform.SettingsVariable,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "only check the settings"},
			&cli.IntFlag{Name: "verbosity", Usage: "log `LEVEL`: 0 for refusals, failures and what is known, 2 for every request"},
			&cli.StringFlag{Name: "advertise-siblings", Usage: "`IP:PORT` at which siblings reach this instance, if other than where it listens for them"},
			&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics at this `PORT`; 0 for none"},
		},
		Action: runPlatform,
	}
}

// logQueue is how many lines may wait for a reader that does not keep up: a
// few seconds' worth under load, and less than a megabyte.
const logQueue = 2000

// lastLines bounds the wait for the log at the end; the process is killed 250 ms
// after it should have ended.
const lastLines = 150 * time.Millisecond

func runPlatform(ctx context.Context, command *cli.Command) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if command.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	output := logging.NewBounded(os.Stdout, logQueue)
	if err := logging.Setup(output, command.Int("verbosity")); err != nil {
		return err
	}
	limitMemory(settings.MemoryBytes)
	// A reader of the output that has gone must not end the instance.
	signal.Ignore(syscall.SIGPIPE)
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	instance, err := daemon.NewPlatform(settings, daemon.PlatformOptions{
		MetricsPort: command.Int("metrics-port"), AdvertiseSiblings: command.String("advertise-siblings"),
	})
	if err != nil {
		return err
	}
	go watchHangups()
	klog.InfoS("Start", "instance", settings.Name, "zone", settings.Zone, "callers", settings.Callers,
		"siblings", settings.Siblings, "store", settings.Store)
	defer output.Flush(lastLines)
	return instance.Run(ctx, stop)
}

const (
	// memoryShare of the limit may be used before the collector works harder;
	// the rest is for stacks, sockets and what the runtime does not count.
	memoryShare = 0.6
	// collectAt lets the heap grow to this percentage of what is live: memory
	// is cheaper than processor time on these instances.
	collectAt = 300
)

func limitMemory(limit int64) {
	debug.SetGCPercent(collectAt)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare))
	}
}

// watchHangups logs each request to read the settings again. Addresses and
// bounds of a running instance do not change, so there is nothing to take over.
func watchHangups() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		settings, err := platform.LoadSettings()
		if err != nil {
			klog.ErrorS(err, "Reload: the settings cannot be used; the old ones stay")
			continue
		}
		klog.InfoS("Reload", "instance", settings.Name)
	}
}
