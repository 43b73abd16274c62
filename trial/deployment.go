// Package trial runs a small complete system in one process on loopback. It
// consists of instances, sample traffic, and stand-ins for the platform, for
// model engines and for plain services (without models). The package checks the
// guarantees against the ledgers of the stand-ins and of the callers.
package trial

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/table"
)

// Deployment is one of the reference deployments at its current size.
type Deployment struct {
	Name  string
	Zones []string
	// Model and Plain name the services.
	Model string
	Plain string
	// Prefill and Decode count engines, Servers counts plain servers.
	Prefill int
	Decode  int
	Servers int
	// PlainDuration is the duration of a plain call.
	PlainDuration time.Duration
	Traffic       load.Profile
}

// Deployments holds the reference deployments by name. Each has nine engines and
// three plain servers in three availability zones.
var Deployments = map[string]Deployment{
	"cooperativa": {
		Name:  "cooperativa",
		Zones: []string{"sabana", "heredia", "cartago"},
		Model: "dossier", Plain: "plate-desk",
		Prefill: 5, Decode: 4, Servers: 3,
		PlainDuration: 5 * time.Millisecond,
		Traffic: load.Profile{
			Model: "dossier", Service: "plate-desk", Rate: 14, PlainRate: 10,
			MedianPrompt: 2200, Spread: 0.7, MaxPrompt: 24_000, MeanAnswer: 96,
			Templates: 12, TemplateTokens: 1024,
			Teams: []string{"counter", "notary", "dealer"}, CancelShare: 0.03,
		},
	},
	"camara": {
		Name:  "camara",
		Zones: []string{"sala-palermo", "sala-rosario", "sala-cordoba"},
		Model: "assistant", Plain: "booking",
		Prefill: 5, Decode: 4, Servers: 3,
		PlainDuration: 5 * time.Millisecond,
		Traffic: load.Profile{
			Model: "assistant", Service: "booking", Rate: 10, PlainRate: 14,
			MedianPrompt: 3200, Spread: 0.8, MaxPrompt: 32_000, MeanAnswer: 96,
			Templates: 24, TemplateTokens: 2048,
			Teams: []string{"parrilla", "bodegon", "cafe"}, CancelShare: 0.05,
		},
	},
}

// FindDeployment returns the deployment with the given name.
func FindDeployment(name string) (Deployment, error) {
	deployment, ok := Deployments[name]
	if !ok {
		return Deployment{}, errors.Errorf("unknown deployment %q: use cooperativa or camara", name)
	}
	return deployment, nil
}

// backendServer is one backend server of a deployment.
type backendServer struct {
	name string
	zone string
	pool string
}

// backendServers lists the backend servers, assigned to the zones round robin.
func (d Deployment) backendServers() []backendServer {
	var all []backendServer
	add := func(count int, kind, pool string) {
		for n := range count {
			zone := d.Zones[n%len(d.Zones)]
			all = append(all, backendServer{name: fmt.Sprintf("%s-%d", kind, n+1), zone: zone, pool: pool})
		}
	}
	add(d.Prefill, d.Model+"-prefill", d.prefillPool())
	add(d.Decode, d.Model+"-decode", d.decodePool())
	add(d.Servers, d.Plain, d.plainPool())
	return all
}

// EngineNames returns the names of the model engines.
func (d Deployment) EngineNames() []string {
	return d.names(func(s backendServer) bool { return s.pool != d.plainPool() })
}

// PlainServerNames returns the names of the plain service's servers.
func (d Deployment) PlainServerNames() []string {
	return d.names(func(s backendServer) bool { return s.pool == d.plainPool() })
}

func (d Deployment) names(wanted func(backendServer) bool) []string {
	var names []string
	for _, server := range d.backendServers() {
		if wanted(server) {
			names = append(names, server.name)
		}
	}
	return names
}

func (d Deployment) prefillPool() string { return d.Model + "-prefill" }
func (d Deployment) decodePool() string  { return d.Model + "-decode" }
func (d Deployment) plainPool() string   { return d.Plain }

// InstanceName returns the name and zone of instance n, counted from 0.
func (d Deployment) InstanceName(n int) (name, zone string) {
	zone = d.Zones[n%len(d.Zones)]
	return zone + "-" + strconv.Itoa(n/len(d.Zones)+1), zone
}

// InitialTableEdit returns the edit that writes the whole table. addresses maps the
// names of backend servers to the addresses on which they listen.
func (d Deployment) InitialTableEdit(addresses map[string]string) table.Edit {
	edit := table.Edit{ID: "first", Author: "trial", Reason: "first table of " + d.Name}
	set := func(kind table.Kind, row string, column table.Column, value string) {
		key := table.RowKey{Kind: kind, Name: row}
		edit.Changes = append(edit.Changes, table.Change{Row: key, Column: column, Value: value})
	}
	set(table.Pool, d.prefillPool(), table.ColRole, table.RolePrefill)
	set(table.Pool, d.decodePool(), table.ColRole, table.RoleDecode)
	set(table.Pool, d.plainPool(), table.ColRole, table.RolePlain)
	set(table.Service, d.Model, table.ColType, table.TypeModel)
	set(table.Service, d.Model, table.ColModel, d.Model)
	set(table.Service, d.Model, table.ColPrefillPool, d.prefillPool())
	set(table.Service, d.Model, table.ColDecodePool, d.decodePool())
	set(table.Service, d.Model, table.ColTTFT, "1100")
	set(table.Service, d.Model, table.ColTBT, "41")
	set(table.Service, d.Plain, table.ColType, table.TypePlain)
	set(table.Service, d.Plain, table.ColPool, d.plainPool())
	for _, team := range d.Traffic.Teams {
		set(table.Team, team, table.ColShare, "1")
	}
	for _, server := range d.backendServers() {
		set(table.Backend, server.name, table.ColPool, server.pool)
		set(table.Backend, server.name, table.ColAddress, addresses[server.name])
		set(table.Backend, server.name, table.ColZone, server.zone)
		if server.pool == d.decodePool() {
			set(table.Backend, server.name, table.ColPieces, strconv.Itoa(standin.DefaultEngine("").Pieces))
		}
	}
	return edit
}
