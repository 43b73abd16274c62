package table

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Share is one service of a route with its part of the requests.
type Share struct {
	Service string
	Weight  int
}

// RouteView is a route row with its values parsed.
type RouteView struct {
	Name string
	Host string
	// Path is the prefix that a request's path begins with.
	Path   string
	Split  []Share
	Repeat string
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// TTFT is the time to the first token, or to the whole answer of a plain
	// call, that counts as on time; TBT bounds the pauses of a stream.
	TTFT time.Duration
	TBT  time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// Attempts bounds the servers that one request is sent to.
	Attempts int
	// Public is set if callers need no key.
	Public bool
	// Regions are those that may serve; empty means all.
	Regions []string
}

// LimitsView bounds what callers may send.
type LimitsView struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the arrival of a header, and Idle the time without
	// a request.
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// RowLimits is the one row of limits.
var RowLimits = RowKey{Kind: Limit, Name: "callers"}

// Defaults for empty cells of a route and of the limits; generous, since an
// empty cell means that the operator set no bound.
const (
	defaultRouteTimeout  = time.Minute
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdle          = time.Minute
)

// New returns a checked table of the given rows, all of one revision.
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

// ParseSplit reads "a:90,b:10".
func ParseSplit(text string) ([]Share, error) {
	var shares []Share
	for _, part := range strings.Split(text, ",") {
		colon := strings.LastIndexByte(part, ':')
		if colon < 1 {
			return nil, errors.Errorf("%q is not a service with a share, as in a:90", part)
		}
		weight, err := strconv.Atoi(part[colon+1:])
		if err != nil || weight < 0 {
			return nil, errors.Errorf("%q has no share that is a whole number", part)
		}
		shares = append(shares, Share{Service: part[:colon], Weight: weight})
	}
	return shares, nil
}

// FormatSplit writes what ParseSplit reads.
func FormatSplit(shares []Share) string {
	parts := make([]string, 0, len(shares))
	for _, share := range shares {
		parts = append(parts, share.Service+":"+strconv.Itoa(share.Weight))
	}
	return strings.Join(parts, ",")
}

// Service chooses a service of the route by its shares. The same request id
// always gets the same one.
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

// Route returns the route of a host with the longest path that begins the
// request's, or nil.
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
		panic("table: compiled before it was checked: " + err.Error())
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
