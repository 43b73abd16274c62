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
	// Connections limits the connections to each server of the service from all
	// instances together. 0 means no limit.
	Connections int
	// HealthPath is the path for health checks. Empty means that there are none.
	HealthPath string
	// ColdRate limits the requests per second that all instances together send to a server
	// that has just started. 0 means no limit.
	ColdRate float64
	Engine   EngineView
}

// EngineView describes the model engines of a service. Zero values mean unknown.
type EngineView struct {
	// MemoryTokens is the KV memory of one engine in tokens. TokenBytes is the
	// size of one token in that memory.
	MemoryTokens int
	TokenBytes   int
	// Hold is the longest time for which memory can be reserved. Handle is the
	// lifetime of a prefill result. Switch is the duration of a role change.
	Hold   time.Duration
	Handle time.Duration
	Switch time.Duration
	// EventTokens is the usual number of tokens in one event of a stream.
	EventTokens int
	// Moves is set if an engine can move a running stream to another engine.
	Moves bool
	// MemoryForecast is set if streams are admitted by a forecast of the engines' memory.
	MemoryForecast bool
}

// BackendView is a backend server row with its values parsed.
type BackendView struct {
	Name    string
	Pool    string
	Role    string
	Address string
	Zone    string
	// Pieces is the decode memory in memory pieces (the unit of KV cache memory, 2,000
	// tokens), or 0 for other roles.
	Pieces int
	// MemoryTokens is the KV memory in tokens, where it is known with that precision.
	MemoryTokens int
	// LinkBytesPerSecond is the bandwidth of the server's link for KV transfers.
	LinkBytesPerSecond int64
	Drain              bool
	// Weights is the version of the weights that the server should load. Empty leaves
	// the choice to the platform.
	Weights string
}

// TeamView is a team row with its values parsed.
type TeamView struct {
	Name     string
	Share    int
	Priority int
	// InFlight limits the team's requests in flight. 0 means no limit.
	InFlight int
	// Keyed is set for teams whose callers authenticate with an API key.
	Keyed bool
	// Digests holds the digests of the team's API keys.
	Digests   []KeyDigest
	Allotment Allotment
	// Regions lists the regions that may serve the team. Empty means all.
	Regions []string
}

// View is a table compiled for fast lookups by requests.
type View struct {
	Revision uint64
	Services map[string]*ServiceView
	// Models maps model names to their services.
	Models   map[string]*ServiceView
	Backends map[string]*BackendView
	Teams    map[string]*TeamView
	// Keyed is set if callers need an API key on routes that are not public. Keys maps
	// key digests to teams.
	Keyed bool
	Keys  map[KeyDigest]*TeamView
	// Routes maps hosts to their routes, the longest path first.
	Routes map[string][]*RouteView
	Limits LimitsView
	// TopPriority is the highest priority value of any model service plus that of
	// any team.
	TopPriority int
	// LeftOut holds the rows of the source that cannot be used, sorted by kind and name, with the reasons. A route that
	// has a host and a path is among Routes nevertheless, without a service, so that no other route takes its requests.
	LeftOut []*CellError
}

// WhyUnserved returns why the route has no service, or has one that is unknown.
func (v *View) WhyUnserved(route *RouteView, service string) string {
	for _, row := range v.LeftOut {
		if row.Row == (RowKey{Kind: Route, Name: route.Name}) || (service != "" && row.Row == RowKey{Kind: Service, Name: service}) {
			return unusableRow(row)
		}
	}
	return "the route's service is unknown"
}

// LeftOutNote returns a note about the first row of a kind that is left out, to be appended to a message. It is empty if
// there is none.
func (v *View) LeftOutNote(kind Kind) string {
	for _, row := range v.LeftOut {
		if row.Row.Kind == kind {
			return "; " + unusableRow(row)
		}
	}
	return ""
}

// maxNote bounds a note about a row, in bytes. Names come from the configuration.
const maxNote = 256

func unusableRow(row *CellError) string {
	note := "the configuration has an unusable row: " + row.Error()
	return note[:min(len(note), maxNote)]
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

// Compile returns the view of a table that Check has accepted. It may panic on other
// tables.
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
			EventTokens:  number(cells[ColEventTokens], 1),
			Moves:        cells[ColMoves] == "true",

			MemoryForecast: cells[ColMemoryAdmission] == AdmissionForecast,
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
		Digests: mustParseKeys(cells[ColKeys]),
		Allotment: Allotment{
			Unit:        cells[ColUnit],
			Rate:        decimal(cells[ColRate]),
			Burst:       decimal(cells[ColBurst]),
			PlainTokens: number(cells[ColPlainTokens], 0),
		},
	}
}

// addTeam adds a team and its key digests to the view.
func (v *View) addTeam(team *TeamView) {
	v.Teams[team.Name] = team
	v.Keyed = v.Keyed || team.Keyed
	for _, digest := range team.Digests {
		v.Keys[digest] = team
	}
}

// number parses a cell that Check has accepted, or returns defaultValue if it is empty.
func number(value string, defaultValue int) int {
	if value == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		panic("table: Compile called on an unchecked table: " + err.Error())
	}
	return n
}

// decimal parses a cell that Check has accepted, or returns 0 if it is empty.
func decimal(value string) float64 {
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		panic("table: Compile called on an unchecked table: " + err.Error())
	}
	return n
}

func millis(value string, defaultValue time.Duration) time.Duration {
	if value == "" {
		return defaultValue
	}
	return time.Duration(number(value, 0)) * time.Millisecond
}

// Restrict returns a copy of the view with only the backend servers for which keep
// returns true. All services and teams stay.
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
