package table

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Share is one service of a route with its traffic weight.
type Share struct {
	Service string
	Weight  int
}

// RouteView is a route row with its values parsed.
type RouteView struct {
	Name string
	Host string
	// Path is the path prefix of the requests that the route matches.
	Path   string
	Split  []Share
	Repeat string
	// Timeout is the longest time that a caller waits for its request.
	Timeout time.Duration
	// TTFT is the target for the time to the first token, or to the complete
	// response of a call to a plain service (without models). TBT is the target for
	// the time between tokens.
	TTFT time.Duration
	TBT  time.Duration
	// Priority ranks the requests of the route. 0 is the highest.
	Priority int
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts int
	// Public is set if callers need no API key.
	Public bool
	// Regions lists the regions that may serve the route. Empty means all.
	Regions []string
}

// LimitsView holds the limits on callers' requests and connections.
type LimitsView struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout limits the time for reading a request's header. Idle limits the
	// time that a connection stays open without a request.
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// RowLimits is the key of the row that holds the limits.
var RowLimits = RowKey{Kind: Limit, Name: "callers"}

// Defaults for empty cells of routes and limits. They are generous, since an empty
// cell means that the operator set no limit.
const (
	defaultRouteTimeout  = time.Minute
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdle          = time.Minute
)

// New returns a checked table of the given rows, all at the given revision.
func New(revision uint64, rows map[RowKey]map[Column]string) (*Table, error) {
	t := &Table{Revision: revision, rows: make(map[RowKey]Row, len(rows))}
	for key, cells := range rows {
		t.rows[key] = Row{Cells: cells, Revision: revision}
	}
	if err := t.Check(); err != nil {
		return nil, err
	}
	return t, nil
}

// maxWeight bounds the weight of one service in a split, so that the sum of the weights does not overflow.
const maxWeight = 1_000_000_000

// ParseSplit parses the output of FormatSplit.
func ParseSplit(text string) ([]Share, error) {
	shares, err := parsePlainSplit(text)
	if err == nil || !strings.HasPrefix(text, "[") {
		return shares, err
	}
	var listed []Share
	if err := json.Unmarshal([]byte(text), &listed); err != nil {
		return nil, errors.Wrap(err, "decode split")
	}
	for _, share := range listed {
		if share.Weight < 0 || share.Weight > maxWeight {
			return nil, errors.Errorf("%d is no share up to %d", share.Weight, maxWeight)
		}
	}
	return listed, nil
}

// parsePlainSplit parses a list of services with weights, such as "a:90,b:10".
func parsePlainSplit(text string) ([]Share, error) {
	var shares []Share
	for _, part := range strings.Split(text, ",") {
		colon := strings.LastIndexByte(part, ':')
		if colon < 1 {
			return nil, errors.Errorf("%q is not a service with a share, as in a:90", part)
		}
		weight, err := strconv.Atoi(part[colon+1:])
		if err != nil || weight < 0 || weight > maxWeight {
			return nil, errors.Errorf("%q has no share that is a whole number up to %d", part, maxWeight)
		}
		shares = append(shares, Share{Service: part[:colon], Weight: weight})
	}
	return shares, nil
}

// FormatSplit formats services with weights as "a:90,b:10", or as JSON if a name contains the separator of that list or is
// empty.
func FormatSplit(shares []Share) string {
	if slices.ContainsFunc(shares, func(s Share) bool { return s.Service == "" || strings.Contains(s.Service, ",") }) {
		if encoded, err := json.Marshal(shares); err == nil {
			return string(encoded)
		}
	}
	parts := make([]string, 0, len(shares))
	for _, share := range shares {
		parts = append(parts, share.Service+":"+strconv.Itoa(share.Weight))
	}
	return strings.Join(parts, ",")
}

// Service selects a service of the route by weight. It hashes the request id, so
// the same id always gets the same service.
func (r *RouteView) Service(requestID string) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, share := range r.Split {
		point -= share.Weight
		if point < 0 {
			return share.Service
		}
	}
	return ""
}

// SendsTo reports whether the route sends requests to a service.
func (r *RouteView) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Route returns the route of the host with the longest path prefix that matches
// the path, or nil.
func (v *View) Route(host, path string) *RouteView {
	for _, route := range v.Routes[host] {
		if strings.HasPrefix(path, route.Path) {
			return route
		}
	}
	return nil
}

func (t *Table) routeViews() map[string][]*RouteView {
	routes := make(map[string][]*RouteView)
	for _, key := range t.Keys(Route) {
		view := t.routeView(key)
		routes[view.Host] = append(routes[view.Host], view)
	}
	for _, ofHost := range routes {
		slices.SortStableFunc(ofHost, func(a, b *RouteView) int { return len(b.Path) - len(a.Path) })
	}
	return routes
}

func (t *Table) routeView(key RowKey) *RouteView {
	cells := t.rows[key].Cells
	split, err := ParseSplit(cells[ColSplit])
	if err != nil {
		panic("table: Compile called on an unchecked table: " + err.Error())
	}
	return &RouteView{
		Name:     key.Name,
		Host:     cells[ColHost],
		Path:     cells[ColPath],
		Split:    split,
		Repeat:   cells[ColRepeat],
		Timeout:  millis(cells[ColTimeout], defaultRouteTimeout),
		TTFT:     millis(cells[ColTTFT], defaultTTFT),
		TBT:      millis(cells[ColTBT], defaultTBT),
		Priority: number(cells[ColPriority], 0),
		Attempts: number(cells[ColAttempts], 1),
		Public:   cells[ColPublic] == "true",
		Regions:  ParseRegions(cells[ColRegions]),
	}
}

func (t *Table) limitsView() LimitsView {
	cells := t.rows[RowLimits].Cells
	return LimitsView{
		HeaderBytes:   number(cells[ColHeaderBytes], defaultHeaderBytes),
		BodyBytes:     number(cells[ColBodyBytes], defaultBodyBytes),
		HeaderTimeout: millis(cells[ColTimeout], defaultHeaderTimeout),
		Idle:          millis(cells[ColIdle], defaultIdle),
	}
}
