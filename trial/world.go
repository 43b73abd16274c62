package trial

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/standin"
)

// listLag is the delay with which the instance list shows a change.
const listLag = 1500 * time.Millisecond

// weightsBytes is the size of the model's weights at the weight store.
const weightsBytes = 140_000_000_000

// environment holds the stand-ins of one trial, each served over HTTP on
// loopback.
type environment struct {
	deployment Deployment
	log        *standin.Log
	list       *standin.List
	weights    *standin.Weights
	farm       *standin.Farm
	plain      *standin.Plain
	// engines and addresses are keyed by the backend server's name.
	engines   map[string]*standin.Engine
	addresses map[string]string
	platform  string
	stops     []func()
}

// newEnvironment starts the stand-ins. platform is the address on which the
// platform's stand-in listens.
func newEnvironment(deployment Deployment, platform string) (*environment, error) {
	env := &environment{
		deployment: deployment,
		log:        standin.NewLog(),
		list:       standin.NewList(listLag),
		weights:    standin.NewWeights(map[string]int64{deployment.Model: weightsBytes}),
		farm:       standin.NewFarm(),
		plain:      standin.NewPlain(deployment.PlainDuration),
		engines:    make(map[string]*standin.Engine),
		addresses:  make(map[string]string),
	}
	if err := env.start(platform); err != nil {
		env.stop()
		return nil, err
	}
	return env, nil
}

func (env *environment) start(platform string) error {
	listener, err := net.Listen("tcp", platform)
	if err != nil {
		return errors.Wrap(err, "listen for the platform's stand-in")
	}
	env.platform = listener.Addr().String()
	env.stops = append(env.stops, standin.Serve(listener, standin.PlatformHandler(env.log, env.list, env.weights)))
	for _, server := range env.deployment.backendServers() {
		if err := env.startServer(server); err != nil {
			return err
		}
	}
	return env.writeTable()
}

func (env *environment) startServer(server backendServer) error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	env.addresses[server.name] = address
	if server.pool == env.deployment.plainPool() {
		env.stops = append(env.stops, standin.Serve(listener, standin.PlainHandler(env.plain, address)))
		return nil
	}
	engine := env.farm.Add(address, standin.DefaultEngine(server.name))
	env.engines[server.name] = engine
	env.stops = append(env.stops, standin.Serve(listener, standin.EngineHandler(engine)))
	return nil
}

func (env *environment) writeTable() error {
	record, err := json.Marshal(env.deployment.InitialTableEdit(env.addresses))
	if err != nil {
		return errors.Wrap(err, "encode first table")
	}
	_, err = env.log.Append(context.Background(), record)
	return errors.Wrap(err, "write first table")
}

func (env *environment) stop() {
	for _, stop := range env.stops {
		stop()
	}
}

// anyLoopback is the listen address for any free port on loopback.
const anyLoopback = "127.0.0.1:0"

func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", anyLoopback)
	return listener, errors.Wrap(err, "listen on loopback")
}

// heldPieces counts the decode memory pieces (units of KV cache memory, 2,000 tokens)
// held on all engines.
func (env *environment) heldPieces() int {
	held := 0
	for _, engine := range env.engines {
		held += engine.Ledger().HeldPieces
	}
	return held
}

// prefillTokens counts the prefilled prompt tokens, and those whose result was
// not used, by cause.
func (env *environment) prefillTokens() (prefilled int64, wasted map[string]int64) {
	wasted = make(map[string]int64)
	for _, engine := range env.engines {
		ledger := engine.Ledger()
		prefilled += ledger.PrefillTokens
		for cause, tokens := range ledger.WastedTokens {
			wasted[cause] += tokens
		}
	}
	return prefilled, wasted
}

// ran reports whether any engine began to work on a request.
func (env *environment) ran(requestID string) bool {
	for _, engine := range env.engines {
		if engine.Ran(requestID) {
			return true
		}
	}
	return false
}
