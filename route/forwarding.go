package route

import (
	"time"

	"github.com/mastwheel/mastwheel/speed"
)

// Scheduling profiles (the filters, scorers and picker for one kind of request) for
// requests that are forwarded unchanged. Siblings send each other their commitments
// (the requests and memory that an instance has assigned to servers), so no request
// goes to a steward (the instance that grants reservations at an engine). The engine
// itself reserves memory.

// maxNormalSilence is longer than a busy server usually takes to answer. Calls to plain
// services (without models) take 60 ms on average and 450 ms at most, and a decode
// engine sends an event every 60 ms (source: the reference workload).
const maxNormalSilence = 500 * time.Millisecond

var forwardingFilters = append([]Filter{SilentFilter{Limit: maxNormalSilence}, BackoffFilter{}, LimitFilter{}, RefusingFilter{}}, commonFilters...)

// fewSlotsFilters are the filters for servers whose free capacity package slots tracks. A server
// that only the ExcludedFilter drops counts as capacity for a retry, so that filter comes last.
var fewSlotsFilters = []Filter{
	SilentFilter{Limit: maxNormalSilence}, BackoffFilter{}, LimitFilter{}, UnreachableFilter{}, DrainingFilter{}, BreakerFilter{}, ExcludedFilter{},
}

// ForwardPrefill returns the profile that selects prefill engines. The zone decides only
// between engines that finish about equally soon: with more weight, one engine's queue grows to
// three times another's in a burst. The better of two engines drawn at random is selected, as
// in ForwardDecode. This raises the score of a simulated day of the reference workload by 0.02
// with 58 instances, and with two engines it always selects the better one.
func ForwardPrefill() *Profile {
	return &Profile{
		Filters: forwardingFilters,
		Avoid:   []Filter{OverdueFilter{Kind: speed.Reading}},
		Speed:   speed.Reading,
		Scorers: []WeightedScorer{{WaitScorer{}, weightWait}, {ZoneScorer{}, weightTieBreak}},
		Picker:  TwoChoicesPicker{},
	}
}

// ForwardDecode returns the profile that selects decode engines. It selects the better
// of two drawn at random, since instances that have not yet received each other's
// commitments would all send to the best engine. The zone in the query is that of the
// prefill engine: a transfer to another zone takes twice as long and costs up to three
// times as much.
func ForwardDecode() *Profile {
	return &Profile{
		Filters: append([]Filter{RoomFilter{}}, forwardingFilters...),
		Speed:   speed.Event,
		Scorers: []WeightedScorer{{FreeScorer{}, weightRoom}, {ZoneScorer{}, weightZone}},
		Picker:  TwoChoicesPicker{},
	}
}

// ForwardReadingDecode returns the profile that selects decode engines which also
// read the prompt. Reading a prompt delays everything that the engine generates, so
// an engine reads one prompt at a time.
func ForwardReadingDecode() *Profile {
	profile := ForwardDecode()
	profile.Filters = append([]Filter{NotReadingFilter{}}, profile.Filters...)
	return profile
}

// weightTieBreak lets the zone decide only between servers with about equal scores.
const weightTieBreak = 0.02

// ForwardPlain returns the profile that selects servers of plain services. It selects the
// better of two drawn at random, since many instances that follow the same delayed load reports
// would all send to the same server.
func ForwardPlain() *Profile {
	return &Profile{
		Filters: forwardingFilters,
		Avoid:   []Filter{OverdueFilter{Kind: speed.Call}},
		Speed:   speed.Call,
		Scorers: []WeightedScorer{{IdleScorer{}, weightIdle}, {ZoneScorer{}, weightTieBreak}},
		Picker:  TwoChoicesPicker{},
	}
}

// ForwardFewSlots returns the profile for plain services whose servers have few slots. Package
// slots selects one of the servers that the filters keep.
func ForwardFewSlots() *Profile {
	profile := ForwardPlain()
	profile.Filters = fewSlotsFilters
	profile.Avoid = append([]Filter{RefusingWithFreeSlotsFilter{}}, profile.Avoid...)
	return profile
}
