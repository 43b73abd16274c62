// Command mastwheeld runs one instance of mastwheel.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/config"
	"github.com/mastwheel/mastwheel/daemon"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/operator"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/weightstore"
)

func main() {
	command := &cli.Command{
		Name:  "mastwheeld",
		Usage: "run one instance of the mastwheel router",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` in TOML"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		EnableShellCompletion: true,
		Commands:              []*cli.Command{platformCommand()},
		Action:                run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mastwheeld:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	if command.String("config") == "" {
		return errors.New(`Required flag "config" not set`)
	}
	settings, err := config.Load(command.String("config"))
	if err != nil {
		return err
	}
	if command.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	if err := logging.Setup(os.Stderr, settings.Log.Verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	return serve(ctx, settings)
}

func serve(ctx context.Context, settings *config.Settings) error {
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	options, err := open(settings)
	if err != nil {
		return err
	}
	klog.InfoS("Serving", "instance", settings.Instance.Name, "zone", settings.Instance.Zone,
		"callers", settings.Instance.Listen, "operators", settings.Operator.Listen, "siblings", settings.Peer.Listen)
	return daemon.New(options).Run(ctx, stop)
}

// open opens the listeners and creates the clients that the settings configure.
func open(settings *config.Settings) (daemon.Options, error) {
	identity, err := peer.LoadIdentity(settings.Peer.Certificate, settings.Peer.Key, settings.Peer.Authorities)
	if err != nil {
		return daemon.Options{}, err
	}
	keys := peer.NewKeys(identity)
	go reloadKeys(keys, settings.Peer)
	siblings, err := peer.ListenQUIC(settings.Peer.Listen, keys)
	if err != nil {
		return daemon.Options{}, err
	}
	callers, err := net.Listen("tcp", settings.Instance.Listen)
	if err != nil {
		return daemon.Options{}, errors.Wrap(err, "listen for callers")
	}
	operators, err := net.Listen("tcp", settings.Operator.Listen)
	if err != nil {
		return daemon.Options{}, errors.Wrap(err, "listen for operators")
	}
	return daemon.Options{
		Config: settings.InstanceConfig(),
		Deps: instance.Deps{
			Engines:  engine.NewHTTP(),
			Services: service.NewHTTP(),
			Log:      oplog.NewHTTP(settings.Platform.Log),
			List:     instancelist.NewHTTP(settings.Platform.InstanceList),
			Peers:    siblings,
			Weights:  weightstore.NewHTTP(settings.Platform.WeightStore),
			Random:   rand.Float64,
		},
		Limits:        settings.CallerLimits(),
		Tokens:        operator.Tokens{Read: settings.Operator.ReadToken, Edit: settings.Operator.EditToken},
		Callers:       callers,
		Operators:     operators,
		RejectedPeers: siblings.RejectedConnections,
		DrainTimeout:  daemon.DefaultDrainTimeout,
	}, nil
}

// reloadKeys reloads the key files on every SIGHUP. If the files are unusable,
// the current keys stay in use.
func reloadKeys(keys *peer.Keys, files config.Peer) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		identity, err := peer.LoadIdentity(files.Certificate, files.Key, files.Authorities)
		if err != nil {
			klog.ErrorS(err,
				"Reloading the TLS keys for siblings failed; the current keys stay in use")
			continue
		}
		keys.Replace(identity)
		klog.InfoS("TLS keys for siblings were reloaded")
	}
}
