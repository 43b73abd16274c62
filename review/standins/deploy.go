package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mastwheel/mastwheel/platform/standin"
)

// Names of the deployment.
const (
	hostName     = "counter.example"
	modelService = "reader"
	plainService = "desk"
	pathStream   = "/read/"
	pathResume   = "/resume/"
	pathUnsafe   = "/book/"
	pathSafe     = "/look/"
)

var zoneNames = []string{"east", "west", "south"}

// deployment is a store, its operator, and the instances of the daemon.
type deployment struct {
	sheet     sheet
	record    *record
	store     *standin.Store
	directory string
	// base holds the first three numbers of the loopback addresses of this run.
	base      string
	instances []*daemon
	version   int
	workers   []*plainProcess
}

// daemon is one instance of the daemon, a process of its own.
type daemon struct {
	name, front, ready, file, log string

	// ends counts how often its process was killed for its memory.
	ends atomic.Int64

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newDeployment(r *record) (*deployment, error) {
	store, err := standin.StartStore()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{sheet: sheetLight, record: r, store: store, directory: directory}
	for range 100 {
		d.base = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(255))
		probe, err := net.Listen("tcp", d.base+".1:8144")
		if err == nil {
			probe.Close()
			break
		}
	}
	return d, nil
}

// address returns a loopback address of this run.
func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.base, host, port)
}

// settings are those of a small deployment.
const settings = `nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = "middle"
internalPorts = [7660,7675]
seeds = [%q]
firstStart = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
east = "middle"
west = "middle"
south = "middle"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 134
maxOpenFiles = 4100
linkMbps = 1000.0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 56
recoveryS = 12
transitMs = 120
retryAfterS = 3.3
fencingRequired = true
leaseMs = 3000
thawSlackMs = 300
ttl_max_s = 5
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
`

// startInstances starts instances with the command of the deploy file.
func (d *deployment) startInstances(count int) error {
	for i := range count {
		host := i + 1
		one := &daemon{name: fmt.Sprintf("front-%d", host), front: d.address(host, 8144), ready: d.address(host, 8140)}
		text := fmt.Sprintf(settings, one.name, fmt.Sprintf("%s.%d", d.base, host), zoneNames[i%len(zoneNames)], d.address(1, 8146),
			one.front, one.ready, d.address(host, 8146), d.address(host, 8143), d.store.Address())
		file := filepath.Join(d.directory, one.name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		one.file, one.log = file, filepath.Join(d.directory, one.name+".log")
		if err := d.startInstance(one); err != nil {
			return err
		}
		d.instances = append(d.instances, one)
	}
	for _, one := range d.instances {
		if err := one.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts the process of an instance.
func (d *deployment) startInstance(one *daemon) error {
	log, err := os.OpenFile(one.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command, exited := exec.Command("target/mastwheeld", "platform", "--metrics-port", "9464"), make(chan struct{})
	command.Env = []string{"MASTWHEEL_SETTINGS=" + one.file, "PATH=" + os.Getenv("PATH"), "HOME=" + d.directory}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	go func() {
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	one.mu.Lock()
	defer one.mu.Unlock()
	one.command, one.exited = command, exited
	return nil
}

// pid returns the number of the instance's process.
func (one *daemon) pid() int {
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.command.Process.Pid
}

// stop kills the process of an instance.
func (one *daemon) stop() {
	one.mu.Lock()
	command, exited := one.command, one.exited
	one.mu.Unlock()
	_ = command.Process.Kill()
	<-exited
}

func (one *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		if answer, err := client.Get("http://" + one.ready + "/ready"); err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", one.name)
}

// close ends the processes of the deployment.
func (d *deployment) close() {
	for _, one := range d.instances {
		one.stop()
	}
	for _, p := range d.workers {
		p.kill()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("kept:", d.directory)
	}
}

func route(name, prefix, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target,
		"priority": 1, "service": service, "maxAttempts": attempts,
	}
	if kind == "stream" {
		r["sticky"], r["resumable"], r["gapTargetMs"] = true, resumable, 300
	}
	return r
}

// configure writes a manifest.
func (d *deployment) configure() {
	d.version += 3
	manifest := map[string]any{
		"version": d.version,
		"routes": []any{
			route("read", pathStream, "stream", modelService, 14000, 900, 1, false),
			route("resume", pathResume, "stream", modelService, 14000, 900, 2, true),
			route("book", pathUnsafe, "unsafe", plainService, 1500, 300, 1, false),
			route("look", pathSafe, "safe", plainService, 1500, 300, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": modelService, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": engineSlots, "kvCapacityTokens": d.sheet.memory, "tokenKvBytes": d.sheet.tokenBytes, "linkMbps": d.sheet.linkMbps, "moves": true,
					"backups": true, "stride": d.sheet.stride, "most": 12, "kvHoldS": handleHold.Seconds(), "stageSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	d.store.Put("keyed.op", "config", encode(manifest))
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("encode: " + err.Error())
	}
	return encoded
}

// register writes the entry of a worker; a nil stage stands for a plain worker.
func (d *deployment) register(id, service, address, zone, stage, state string, slots int, sequence uint64) {
	entry := map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": 0, "sequence": sequence,
	}
	if stage != "" {
		entry["stage"] = stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	d.store.Put("keyed.servers", id, encode(entry))
}

func (d *deployment) unregister(id string) { d.store.Put("keyed.servers", id, nil) }
