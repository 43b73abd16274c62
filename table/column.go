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
	// Route maps requests to services by host and path prefix.
	Route Kind = "route"
	// Limit holds limits on callers' HTTP requests and connections.
	Limit Kind = "limit"
)

// Kinds lists the kinds in display order.
var Kinds = []Kind{Service, Pool, Backend, Team, Route, Limit}

// Column is the name of a column. Its meaning depends on the row's kind.
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
	// ColSplit lists services with their traffic weights, as in "a:90,b:10".
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
	ColEventTokens Column = "event_tokens"
	ColHeaderBytes Column = "header_bytes"
	ColBodyBytes   Column = "body_bytes"
	ColIdle        Column = "idle_ms"
	// ColMoves is "true" if engines can move running streams to each other.
	ColMoves Column = "moves"
	// ColMemoryAdmission is AdmissionForecast or AdmissionFraction. Empty means AdmissionFraction.
	ColMemoryAdmission Column = "memory_admission"
	// ColColdRate limits the requests per second that all instances together send to a
	// server of the service that has just started. Empty means no limit.
	ColColdRate Column = "cold_per_s"
	// ColKeys lists the digests of a team's API keys, or is KeysNone.
	ColKeys   Column = "keys"
	ColPublic Column = "public"
	// ColRegions lists the regions that may serve the requests, as in "a,b". Empty means all.
	ColRegions Column = "regions"
	// ColUnit is the unit of a team's allotment: UnitRequests or UnitTokens.
	ColUnit Column = "unit"
	// ColRate is the refill rate of a team's token bucket, in units per second. ColBurst is
	// the number of units that the team may use in one burst on top of the rate.
	ColRate  Column = "rate"
	ColBurst Column = "burst"
	// ColPlainTokens is the cost in tokens of a request that states no token count.
	ColPlainTokens Column = "plain_tokens"
)

// Rules by which streams are admitted to the memory of decode engines.
const (
	// AdmissionForecast: by a forecast of what the engine's streams will hold.
	AdmissionForecast = "forecast"
	// AdmissionFraction: a fraction of the memory stays free.
	AdmissionFraction = "fraction"
)

// Units of a team's allotment.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// Retry policies of a route.
const (
	// RepeatSafe: requests may run more than once.
	RepeatSafe = "safe"
	// RepeatNever: requests run at most once.
	RepeatNever = "never"
	// RepeatResume: a broken stream may be resumed on another server.
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

// cellCheck returns an error that describes why a cell's value is invalid.
type cellCheck func(value string) error

// columnSpec describes one column of one kind of row.
type columnSpec struct {
	column   Column
	required bool
	check    cellCheck
	// refers is the kind of the row that the value must name, or empty.
	refers Kind
	// omitEmptyInHash is set for columns that were added after tables had been hashed
	// without them. Their empty cells are left out, so that those hashes do not change.
	omitEmptyInHash bool
}

// columns holds the columns of each kind in display order.
var columns = map[Kind][]columnSpec{
	Service: {
		{column: ColType, required: true, check: oneOf(TypeModel, TypePlain)},
		{column: ColModel, check: nonEmpty},
		{column: ColPrefillPool, check: nonEmpty, refers: Pool},
		{column: ColDecodePool, check: nonEmpty, refers: Pool},
		{column: ColPool, check: nonEmpty, refers: Pool},
		{column: ColTTFT, check: intBetween(1, 600_000)},
		{column: ColTBT, check: intBetween(1, 60_000)},
		{column: ColPriority, check: intBetween(0, 9)},
		{column: ColInFlight, check: intBetween(0, 10_000_000)},
		{column: ColRetryPercent, check: intBetween(0, 100)},
		{column: ColConnections, check: intBetween(0, 10_000_000), omitEmptyInHash: true},
		{column: ColHealth, check: nonEmpty, omitEmptyInHash: true},
		{column: ColMemory, check: intBetween(0, 1_000_000_000), omitEmptyInHash: true},
		{column: ColTokenBytes, check: intBetween(0, 1_000_000_000), omitEmptyInHash: true},
		{column: ColHold, check: intBetween(0, 600_000), omitEmptyInHash: true},
		{column: ColHandle, check: intBetween(0, 600_000), omitEmptyInHash: true},
		{column: ColSwitch, check: intBetween(0, 600_000), omitEmptyInHash: true},
		{column: ColEventTokens, check: intBetween(0, 100_000), omitEmptyInHash: true},
		{column: ColMoves, check: oneOf("true", "false"), omitEmptyInHash: true},
		{column: ColMemoryAdmission, check: oneOf(AdmissionForecast, AdmissionFraction), omitEmptyInHash: true},
		{column: ColColdRate, check: decimalUpTo(1_000_000_000), omitEmptyInHash: true},
	},
	Pool: {
		{column: ColRole, required: true, check: oneOf(RolePrefill, RoleDecode, RolePlain)},
	},
	Backend: {
		{column: ColPool, required: true, check: nonEmpty, refers: Pool},
		{column: ColAddress, required: true, check: ipPort},
		{column: ColZone, required: true, check: nonEmpty},
		{column: ColPieces, check: intBetween(0, 1_000_000)},
		{column: ColLink, check: intBetween(1, 10_000_000)},
		{column: ColDrain, check: oneOf("true", "false")},
		{column: ColWeights, check: nonEmpty},
	},
	Team: {
		{column: ColShare, check: intBetween(1, 1_000_000)},
		{column: ColPriority, check: intBetween(0, 9)},
		{column: ColInFlight, check: intBetween(0, 10_000_000)},
		{column: ColKeys, check: checkKeys, omitEmptyInHash: true},
		{column: ColUnit, check: oneOf(UnitRequests, UnitTokens), omitEmptyInHash: true},
		{column: ColRate, check: decimalUpTo(1_000_000_000), omitEmptyInHash: true},
		{column: ColBurst, check: decimalUpTo(1_000_000_000), omitEmptyInHash: true},
		{column: ColPlainTokens, check: intBetween(0, 1_000_000_000), omitEmptyInHash: true},
		{column: ColRegions, check: nonEmpty, omitEmptyInHash: true},
	},
	Route: {
		{column: ColHost, required: true, check: nonEmpty},
		{column: ColPath, required: true, check: nonEmpty},
		{column: ColSplit, required: true, check: checkSplit},
		{column: ColRepeat, required: true, check: oneOf(RepeatSafe, RepeatNever, RepeatResume)},
		{column: ColTimeout, check: intBetween(1, 3_600_000)},
		{column: ColTTFT, check: intBetween(1, 600_000)},
		{column: ColTBT, check: intBetween(1, 60_000)},
		{column: ColPriority, check: intBetween(0, 9)},
		{column: ColAttempts, check: intBetween(1, 100)},
		{column: ColPublic, check: oneOf("true", "false"), omitEmptyInHash: true},
		{column: ColRegions, check: nonEmpty, omitEmptyInHash: true},
	},
	Limit: {
		{column: ColHeaderBytes, check: intBetween(1, 1<<30)},
		{column: ColBodyBytes, check: intBetween(1, 1<<30)},
		{column: ColTimeout, check: intBetween(1, 3_600_000)},
		{column: ColIdle, check: intBetween(1, 3_600_000)},
	},
}

// Columns returns the columns of a kind in display order.
func Columns(kind Kind) []Column {
	names := make([]Column, 0, len(columns[kind]))
	for _, s := range columns[kind] {
		names = append(names, s.column)
	}
	return names
}

func findSpec(kind Kind, column Column) (columnSpec, bool) {
	for _, s := range columns[kind] {
		if s.column == column {
			return s, true
		}
	}
	return columnSpec{}, false
}

func oneOf(allowed ...string) cellCheck {
	return func(value string) error {
		for _, a := range allowed {
			if value == a {
				return nil
			}
		}
		return errors.Errorf("%q is not one of %v", value, allowed)
	}
}

func intBetween(low, high int) cellCheck {
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

// decimalUpTo accepts a number from 0 to high.
func decimalUpTo(high float64) cellCheck {
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

func checkSplit(value string) error {
	_, err := parsePlainSplit(value)
	return err
}

func checkAnySplit(value string) error {
	_, err := ParseSplit(value)
	return err
}

func nonEmpty(value string) error {
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
