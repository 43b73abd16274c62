package table

import (
	"net/netip"
	"strconv"

	"github.com/pkg/errors"
)

// Kind is the kind of a row.
type Kind string

const (
	Service Kind = "service"
	Pool    Kind = "pool"
	Backend Kind = "backend"
	Team    Kind = "team"
	// Route says which requests go to which services, by host and path.
	Route Kind = "route"
	// Limit bounds what callers may send.
	Limit Kind = "limit"
)

// Kinds lists the kinds in the order in which tables are shown.
var Kinds = []Kind{Service, Pool, Backend, Team, Route, Limit}

// Column names a column. Its meaning depends on the row's kind.
type Column string

const (
	ColType         Column = "type"
	ColModel        Column = "model"
	ColPrefillPool  Column = "prefill_pool"
	ColDecodePool   Column = "decode_pool"
	ColPool         Column = "pool"
	ColRole         Column = "role"
	ColAddress      Column = "address"
	ColZone         Column = "zone"
	ColPieces       Column = "pieces"
	ColLink         Column = "link_mb_per_s"
	ColTTFT         Column = "ttft_ms"
	ColTBT          Column = "tbt_ms"
	ColShare        Column = "share"
	ColPriority     Column = "priority"
	ColInFlight     Column = "in_flight"
	ColRetryPercent Column = "retry_percent"
	ColDrain        Column = "drain"
	ColWeights      Column = "weights"
	ColHost         Column = "host"
	ColPath         Column = "path"
	// ColSplit lists services with their shares, "a:90,b:10".
	ColSplit       Column = "split"
	ColRepeat      Column = "repeat"
	ColTimeout     Column = "timeout_ms"
	ColAttempts    Column = "attempts"
	ColConnections Column = "connections"
	ColHealth      Column = "health_path"
	ColMemory      Column = "memory_tokens"
	ColTokenBytes  Column = "token_bytes"
	ColHold        Column = "hold_ms"
	ColHandle      Column = "handle_ms"
	ColSwitch      Column = "switch_ms"
	ColStride      Column = "event_tokens"
	ColHeaderBytes Column = "header_bytes"
	ColBodyBytes   Column = "body_bytes"
	ColIdle        Column = "idle_ms"
	// ColMoves says whether engines hand running streams to each other.
	ColMoves Column = "moves"
	// ColColdRate is how many requests a second a server of the service bears that has just
	// started, from all instances together; empty means no bound.
	ColColdRate Column = "cold_per_s"
	// ColKeys lists the digests of a team's keys, or is KeysNone.
	ColKeys   Column = "keys"
	ColPublic Column = "public"
	// ColRegions lists the regions that may serve, "a,b"; empty means all.
	ColRegions Column = "regions"
	// ColUnit is what a team's allotment counts.
	ColUnit Column = "unit"
	// ColRate is the allotment a second, ColBurst what may come at once beside it.
	ColRate  Column = "rate"
	ColBurst Column = "burst"
	// ColPlainTokens is what a request counts that names no tokens.
	ColPlainTokens Column = "plain_tokens"
)

// Units of a team's allotment.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// What may be repeated on a route.
const (
	// RepeatSafe: requests may run more than once.
	RepeatSafe = "safe"
	// RepeatNever: requests run at most once.
	RepeatNever = "never"
	// RepeatResume: streams may go on at another server after a break.
	RepeatResume = "resume"
)

// Types of a service.
const (
	TypeModel = "model"
	TypePlain = "plain"
)

// Roles of a pool.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RolePlain   = "plain"
)

// check reports what is wrong with a cell's value.
type check func(value string) error

// spec describes one column of one kind of row.
type spec struct {
	column   Column
	required bool
	check    check
	// refers is the kind of row that the value must name.
	refers Kind
	// later is set for columns that came after the first tables were hashed:
	// empty, they leave a table's hash as it was.
	later bool
}

// columns holds the columns of each kind, in the order in which they are shown.
var columns = map[Kind][]spec{
	Service: {
		{column: ColType, required: true, check: oneOf(TypeModel, TypePlain)},
		{column: ColModel, check: anyText},
		{column: ColPrefillPool, check: anyText, refers: Pool},
		{column: ColDecodePool, check: anyText, refers: Pool},
		{column: ColPool, check: anyText, refers: Pool},
		{column: ColTTFT, check: intIn(1, 600_000)},
		{column: ColTBT, check: intIn(1, 60_000)},
		{column: ColPriority, check: intIn(0, 9)},
		{column: ColInFlight, check: intIn(0, 10_000_000)},
		{column: ColRetryPercent, check: intIn(0, 100)},
		{column: ColConnections, check: intIn(0, 10_000_000), later: true},
		{column: ColHealth, check: anyText, later: true},
		{column: ColMemory, check: intIn(0, 1_000_000_000), later: true},
		{column: ColTokenBytes, check: intIn(0, 1_000_000_000), later: true},
		{column: ColHold, check: intIn(0, 600_000), later: true},
		{column: ColHandle, check: intIn(0, 600_000), later: true},
		{column: ColSwitch, check: intIn(0, 600_000), later: true},
		{column: ColStride, check: intIn(0, 100_000), later: true},
		{column: ColMoves, check: oneOf("true", "false"), later: true},
		{column: ColColdRate, check: decimalTo(1_000_000_000), later: true},
	},
	Pool: {
		{column: ColRole, required: true, check: oneOf(RolePrefill, RoleDecode, RolePlain)},
	},
	Backend: {
		{column: ColPool, required: true, check: anyText, refers: Pool},
		{column: ColAddress, required: true, check: ipPort},
		{column: ColZone, required: true, check: anyText},
		{column: ColPieces, check: intIn(0, 1_000_000)},
		{column: ColLink, check: intIn(1, 10_000_000)},
		{column: ColDrain, check: oneOf("true", "false")},
		{column: ColWeights, check: anyText},
	},
	Team: {
		{column: ColShare, check: intIn(1, 1_000_000)},
		{column: ColPriority, check: intIn(0, 9)},
		{column: ColInFlight, check: intIn(0, 10_000_000)},
		{column: ColKeys, check: keysText, later: true},
		{column: ColUnit, check: oneOf(UnitRequests, UnitTokens), later: true},
		{column: ColRate, check: decimalTo(1_000_000_000), later: true},
		{column: ColBurst, check: decimalTo(1_000_000_000), later: true},
		{column: ColPlainTokens, check: intIn(0, 1_000_000_000), later: true},
		{column: ColRegions, check: anyText, later: true},
	},
	Route: {
		{column: ColHost, required: true, check: anyText},
		{column: ColPath, required: true, check: anyText},
		{column: ColSplit, required: true, check: splitText},
		{column: ColRepeat, required: true, check: oneOf(RepeatSafe, RepeatNever, RepeatResume)},
		{column: ColTimeout, check: intIn(1, 3_600_000)},
		{column: ColTTFT, check: intIn(1, 600_000)},
		{column: ColTBT, check: intIn(1, 60_000)},
		{column: ColPriority, check: intIn(0, 9)},
		{column: ColAttempts, check: intIn(1, 100)},
		{column: ColPublic, check: oneOf("true", "false"), later: true},
		{column: ColRegions, check: anyText, later: true},
	},
	Limit: {
		{column: ColHeaderBytes, check: intIn(1, 1<<30)},
		{column: ColBodyBytes, check: intIn(1, 1<<30)},
		{column: ColTimeout, check: intIn(1, 3_600_000)},
		{column: ColIdle, check: intIn(1, 3_600_000)},
	},
}

// Columns returns the columns of a kind in the order in which they are shown.
func Columns(kind Kind) []Column {
	names := make([]Column, 0, len(columns[kind]))
	for _, s := range columns[kind] {
		names = append(names, s.column)
	}
	return names
}

func findSpec(kind Kind, column Column) (spec, bool) {
	for _, s := range columns[kind] {
		if s.column == column {
			return s, true
		}
	}
	return spec{}, false
}

func oneOf(allowed ...string) check {
	return func(value string) error {
		for _, a := range allowed {
			if value == a {
				return nil
			}
		}
		return errors.Errorf("%q is not one of %v", value, allowed)
	}
}

func intIn(low, high int) check {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return errors.Errorf("%q is not a whole number", value)
		}
		if n < low || n > high {
			return errors.Errorf("%d is outside %d to %d", n, low, high)
		}
		return nil
	}
}

// decimalTo accepts a number from 0 to a bound.
func decimalTo(high float64) check {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", value)
		}
		if !(n >= 0 && n <= high) {
			return errors.Errorf("%v is outside 0 to %v", n, high)
		}
		return nil
	}
}

func splitText(value string) error {
	_, err := ParseSplit(value)
	return err
}

func anyText(value string) error {
	if value == "" {
		return errors.New("is empty")
	}
	return nil
}

func ipPort(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.Errorf("%q is not an IP number with a port", value)
	}
	return nil
}
