package trial

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/standin"
)

// listLag is how late the instance list shows a change.
const listLag = 1500 * time.Millisecond

// weightsBytes is the size of the model's weights at the weight store.
const weightsBytes = 140_000_000_000

// world is the stand-ins of one trial, each behind HTTP on loopback.
type world struct {
	deployment Deployment
	log        *standin.Log
	list       *standin.List
	weights    *standin.Weights
	farm       *standin.Farm
	plain      *standin.Plain
	// engines and addresses are by the backend server's name.
	engines   map[string]*standin.Engine
	addresses map[string]string
	platform  string
	stops     []func()
}

// newWorld starts the stand-ins; platform is where the platform listens.
func newWorld(deployment Deployment, platform string) (*world, error) {
	w := &world{
		deployment: deployment,
		log:        standin.NewLog(),
		list:       standin.NewList(listLag),
		weights:    standin.NewWeights(map[string]int64{deployment.Model: weightsBytes}),
		farm:       standin.NewFarm(),
		plain:      standin.NewPlain(deployment.PlainTook),
		engines:    make(map[string]*standin.Engine),
		addresses:  make(map[string]string),
	}
	if err := w.start(platform); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *world) start(platform string) error {
	listener, err := net.Listen("tcp", platform)
	if err != nil {
		return errors.Wrap(err, "listen for the platform's stand-in")
	}
	w.platform = listener.Addr().String()
	w.stops = append(w.stops, standin.Serve(listener, standin.PlatformHandler(w.log, w.list, w.weights)))
	for _, worker := range w.deployment.workers() {
		if err := w.startWorker(worker); err != nil {
			return err
		}
	}
	return w.writeTable()
}

func (w *world) startWorker(worker worker) error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	w.addresses[worker.name] = address
	if worker.pool == w.deployment.plainPool() {
		w.stops = append(w.stops, standin.Serve(listener, standin.PlainHandler(w.plain, address)))
		return nil
	}
	engine := w.farm.Add(address, standin.DefaultEngine(worker.name))
	w.engines[worker.name] = engine
	w.stops = append(w.stops, standin.Serve(listener, standin.EngineHandler(engine)))
	return nil
}

func (w *world) writeTable() error {
	record, err := json.Marshal(w.deployment.FirstEdit(w.addresses))
	if err != nil {
		return errors.Wrap(err, "encode first table")
	}
	_, err = w.log.Append(context.Background(), record)
	return errors.Wrap(err, "write first table")
}

func (w *world) stop() {
	for _, stop := range w.stops {
		stop()
	}
}

// anyLoopback is a free port on loopback.
const anyLoopback = "127.0.0.1:0"

func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", anyLoopback)
	return listener, errors.Wrap(err, "listen on loopback")
}

// heldPieces counts the decode memory that is held anywhere.
func (w *world) heldPieces() int {
	held := 0
	for _, engine := range w.engines {
		held += engine.Ledger().HeldPieces
	}
	return held
}

// prefillTokens counts the prompt tokens that were read, and those in vain.
func (w *world) prefillTokens() (read int64, wasted map[string]int64) {
	wasted = make(map[string]int64)
	for _, engine := range w.engines {
		ledger := engine.Ledger()
		read += ledger.PrefillTokens
		for cause, tokens := range ledger.WastedTokens {
			wasted[cause] += tokens
		}
	}
	return read, wasted
}

// ran says whether any engine began to work on a request.
func (w *world) ran(requestID string) bool {
	for _, engine := range w.engines {
		if engine.Ran(requestID) {
			return true
		}
	}
	return false
}
