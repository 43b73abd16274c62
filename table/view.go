package table

import (
	"strconv"
	"time"
)

// ServiceView is a service row with its values parsed and its pools resolved.
type ServiceView struct {
	Name         string
	Type         string
	Model        string
	Prefill      []*BackendView
	Decode       []*BackendView
	Plain        []*BackendView
	TTFT         time.Duration
	TBT          time.Duration
	Priority     int
	InFlight     int
	RetryPercent int
	// Connections bounds the connections to each server of the service, from
	// all instances together; 0 means no bound.
	Connections int
	// HealthPath answers health checks; empty without.
	HealthPath string
	// ColdRate is how many requests a second a server bears that has just started, from all
	// instances together; 0 means no bound.
	ColdRate float64
	Engine   EngineView
}

// EngineView describes the model engines of a service; zero values are not
// known.
type EngineView struct {
	// MemoryTokens is the KV memory of one engine, in tokens, and TokenBytes
	// the bytes of one.
	MemoryTokens int
	TokenBytes   int
	// Hold is the longest time for which memory can be reserved, Handle how
	// long a prefill result survives, and Switch how long a change of role
	// takes.
	Hold   time.Duration
	Handle time.Duration
	Switch time.Duration
	// EventTokens is how many tokens one event of a stream usually holds.
	EventTokens int
	// Moves is set if an engine can hand a running stream to another.
	Moves bool
}

// BackendView is a backend server row with its values parsed.
type BackendView struct {
	Name    string
	Pool    string
	Role    string
	Address string
	Zone    string
	// Pieces is the decode memory, in pieces; 0 for other roles.
	Pieces int
	// MemoryTokens is the KV memory in tokens where it is known so exactly.
	MemoryTokens int
	// LinkBytesPerSecond is the rate of the server's link for KV transfers.
	LinkBytesPerSecond int64
	Drain              bool
	// Weights names the version that the server is to have loaded; empty
	// leaves it to the platform.
	Weights string
}

// TeamView is a team row with its values parsed.
type TeamView struct {
	Name     string
	Share    int
	Priority int
	// InFlight is a cap; 0 means none.
	InFlight int
	// Keyed is set for teams whose callers show a key.
	Keyed bool
	// Digests are those of the team's keys.
	Digests   []KeyDigest
	Allotment Allotment
	// Regions are those that may serve the team; empty means all.
	Regions []string
}

// View is a table compiled for the path of a request.
type View struct {
	Revision uint64
	Services map[string]*ServiceView
	// Models finds a model service by the model's name.
	Models   map[string]*ServiceView
	Backends map[string]*BackendView
	Teams    map[string]*TeamView
	// Keyed is set if callers show a key on routes that are not public, and Keys finds
	// the team of one.
	Keyed bool
	Keys  map[KeyDigest]*TeamView
	// Routes finds the routes of a host, the longest path first.
	Routes map[string][]*RouteView
	Limits LimitsView
	// TopPriority is the highest priority of any model service plus that of
	// any team.
	TopPriority int
}

// Defaults for empty cells.
const (
	defaultTTFT         = 1100 * time.Millisecond
	defaultTBT          = 41 * time.Millisecond
	defaultShare        = 1
	defaultRetryPercent = 20
	defaultLinkMB       = 1000
	bytesPerMB          = 1_000_000
)

// Compile parses a checked table.
func (t *Table) Compile() *View {
	view := &View{
		Revision: t.Revision,
		Services: make(map[string]*ServiceView),
		Models:   make(map[string]*ServiceView),
		Backends: make(map[string]*BackendView),
		Teams:    make(map[string]*TeamView),
		Keys:     make(map[KeyDigest]*TeamView),
	}
	pools := make(map[string][]*BackendView)
	for _, key := range t.Keys(Backend) {
		backend := t.backendView(key)
		view.Backends[key.Name] = backend
		pools[backend.Pool] = append(pools[backend.Pool], backend)
	}
	for _, key := range t.Keys(Service) {
		service := t.serviceView(key, pools)
		view.Services[key.Name] = service
		if service.Type == TypeModel {
			view.Models[service.Model] = service
		}
	}
	for _, key := range t.Keys(Team) {
		view.addTeam(t.teamView(key))
	}
	view.Routes = t.routeViews()
	view.Limits = t.limitsView()
	view.TopPriority = topPriority(view)
	return view
}

func topPriority(view *View) int {
	service, team := 0, 0
	for _, s := range view.Models {
		service = max(service, s.Priority)
	}
	for _, t := range view.Teams {
		team = max(team, t.Priority)
	}
	return service + team
}

func (t *Table) backendView(key RowKey) *BackendView {
	cells := t.rows[key].Cells
	pool := cells[ColPool]
	return &BackendView{
		Name:               key.Name,
		Pool:               pool,
		Role:               t.rows[RowKey{Kind: Pool, Name: pool}].Cells[ColRole],
		Address:            cells[ColAddress],
		Zone:               cells[ColZone],
		Pieces:             number(cells[ColPieces], 0),
		LinkBytesPerSecond: int64(number(cells[ColLink], defaultLinkMB)) * bytesPerMB,
		Drain:              cells[ColDrain] == "true",
		Weights:            cells[ColWeights],
	}
}

func (t *Table) serviceView(key RowKey, pools map[string][]*BackendView) *ServiceView {
	cells := t.rows[key].Cells
	return &ServiceView{
		Name:         key.Name,
		Type:         cells[ColType],
		Model:        cells[ColModel],
		Prefill:      pools[cells[ColPrefillPool]],
		Decode:       pools[cells[ColDecodePool]],
		Plain:        pools[cells[ColPool]],
		TTFT:         millis(cells[ColTTFT], defaultTTFT),
		TBT:          millis(cells[ColTBT], defaultTBT),
		Priority:     number(cells[ColPriority], 0),
		InFlight:     number(cells[ColInFlight], 0),
		RetryPercent: number(cells[ColRetryPercent], defaultRetryPercent),
		Connections:  number(cells[ColConnections], 0),
		HealthPath:   cells[ColHealth],
		ColdRate:     decimal(cells[ColColdRate]),
		Engine: EngineView{
			MemoryTokens: number(cells[ColMemory], 0),
			TokenBytes:   number(cells[ColTokenBytes], 0),
			Hold:         millis(cells[ColHold], 0),
			Handle:       millis(cells[ColHandle], 0),
			Switch:       millis(cells[ColSwitch], 0),
			EventTokens:  number(cells[ColStride], 1),
			Moves:        cells[ColMoves] == "true",
		},
	}
}

func (t *Table) teamView(key RowKey) *TeamView {
	cells := t.rows[key].Cells
	return &TeamView{
		Name:     key.Name,
		Share:    number(cells[ColShare], defaultShare),
		Priority: number(cells[ColPriority], 0),
		InFlight: number(cells[ColInFlight], 0),

		Regions: ParseRegions(cells[ColRegions]),
		Keyed:   cells[ColKeys] != "",
		Digests: digestsOf(cells[ColKeys]),
		Allotment: Allotment{
			Unit:        cells[ColUnit],
			Rate:        decimal(cells[ColRate]),
			Burst:       decimal(cells[ColBurst]),
			PlainTokens: number(cells[ColPlainTokens], 0),
		},
	}
}

// addTeam adds a team with its keys.
func (v *View) addTeam(team *TeamView) {
	v.Teams[team.Name] = team
	v.Keyed = v.Keyed || team.Keyed
	for _, digest := range team.Digests {
		v.Keys[digest] = team
	}
}

// number parses a cell that Check has accepted.
func number(value string, empty int) int {
	if value == "" {
		return empty
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		panic("table: compiled before it was checked: " + err.Error())
	}
	return n
}

// decimal parses a cell that Check has accepted; an empty one is 0.
func decimal(value string) float64 {
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		panic("table: compiled before it was checked: " + err.Error())
	}
	return n
}

func millis(value string, empty time.Duration) time.Duration {
	if value == "" {
		return empty
	}
	return time.Duration(number(value, 0)) * time.Millisecond
}

// Restrict returns the view with only some of the backend servers in it. The
// services and teams stay.
func (v *View) Restrict(keep func(*BackendView) bool) *View {
	next := *v
	next.Backends = make(map[string]*BackendView)
	for name, backend := range v.Backends {
		if keep(backend) {
			next.Backends[name] = backend
		}
	}
	next.Services = make(map[string]*ServiceView, len(v.Services))
	next.Models = make(map[string]*ServiceView, len(v.Models))
	for name, service := range v.Services {
		restricted := *service
		restricted.Prefill = filterBackends(service.Prefill, keep)
		restricted.Decode = filterBackends(service.Decode, keep)
		restricted.Plain = filterBackends(service.Plain, keep)
		next.Services[name] = &restricted
		if restricted.Type == TypeModel {
			next.Models[restricted.Model] = &restricted
		}
	}
	return &next
}

func filterBackends(all []*BackendView, keep func(*BackendView) bool) []*BackendView {
	var kept []*BackendView
	for _, backend := range all {
		if keep(backend) {
			kept = append(kept, backend)
		}
	}
	return kept
}
