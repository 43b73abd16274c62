package route

import "time"

// Profiles for requests that are forwarded as they came. Siblings tell each
// other their commitments, so no steward is asked; the engine itself reserves.

// ordinarySilence is longer than a busy server's usual answer: plain calls take
// 60 ms in the mean and 450 ms at most, and a decode engine sends an event
// every 60 ms (source: the users' sheets).
const ordinarySilence = 500 * time.Millisecond

var forwardingFilters = append([]Filter{SilentFilter{Limit: ordinarySilence}, RestFilter{}, LimitFilter{}, RefusingFilter{}}, commonFilters...)

// ForwardPrefill chooses engines that read prompts. Zones decide only between
// those that are done about equally soon: with more weight, one engine's queue
// grows to three times another's in a burst. The better of two drawn at random is
// taken, as for decode engines below: worth 0.02 with 58 instances (four days of
// fixed seeds), and with two engines it is the better of all.
func ForwardPrefill() *Profile {
	return &Profile{
		Filters: forwardingFilters,
		Scorers: []Weighted{{WaitScorer{}, weightWait}, {ZoneScorer{}, weightTie}},
		Picker:  TwoChoicesPicker{},
	}
}

// ForwardDecode chooses engines that generate: the better of two drawn at
// random, since instances that have not yet heard of each other's requests
// would all send theirs to the best. The zone in the query is that of the prefill
// engine: a transfer to another takes twice as long and costs up to three times as
// much.
func ForwardDecode() *Profile {
	return &Profile{
		Filters: append([]Filter{RoomFilter{}}, forwardingFilters...),
		Scorers: []Weighted{{FreeScorer{}, weightRoom}, {ZoneScorer{}, weightZone}},
		Picker:  TwoChoicesPicker{},
	}
}

// ForwardReadingDecode chooses engines that generate and are to read the prompt
// too. That holds up all that they generate, so one reads one prompt at a time.
func ForwardReadingDecode() *Profile {
	profile := ForwardDecode()
	profile.Filters = append([]Filter{NotReadingFilter{}}, profile.Filters...)
	return profile
}

// weightTie lets the zone decide only between engines with about equal room.
const weightTie = 0.02

// ForwardPlain chooses servers of plain services: the better of two drawn at
// random, since many instances that all follow the same lagged loads would send
// to the same server at once.
func ForwardPlain() *Profile {
	return &Profile{
		Filters: forwardingFilters,
		Scorers: []Weighted{{IdleScorer{}, weightIdle}, {ZoneScorer{}, weightTie}},
		Picker:  TwoChoicesPicker{},
	}
}
