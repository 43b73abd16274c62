package route

import "slices"

// Weights of the scorers. The wait dominates, since it decides whether the target for
// the first token is met. The distance between zones is a millisecond and only breaks
// near ties.
const (
	weightWait   = 1.0
	weightPrefix = 0.5
	weightRoom   = 1.0
	weightZone   = 0.1
	weightIdle   = 1.0
)

var commonFilters = []Filter{ExcludedFilter{}, DrainingFilter{}, BreakerFilter{}}

// PrefillProfile returns the profile that selects prefill engines.
func PrefillProfile() *Profile {
	return &Profile{
		Filters: commonFilters,
		Scorers: []WeightedScorer{{WaitScorer{}, weightWait}, {PrefixScorer{}, weightPrefix}, {ZoneScorer{}, weightZone}},
		Picker:  BestPicker{},
	}
}

// DecodeProfile returns the profile that selects decode engines.
func DecodeProfile() *Profile {
	filters := append([]Filter{MemoryFilter{}}, commonFilters...)
	return &Profile{
		Filters: filters,
		Scorers: []WeightedScorer{{RoomScorer{}, weightRoom}, {ZoneScorer{}, weightZone}},
		Picker:  BestPicker{},
	}
}

// PlainProfile returns the profile that selects servers of plain services (without
// models).
func PlainProfile() *Profile {
	return &Profile{
		Filters: commonFilters,
		Scorers: []WeightedScorer{{IdleScorer{}, weightIdle}, {ZoneScorer{}, weightZone}},
		Picker:  BestPicker{},
	}
}

// Without returns a copy of the profile without the filters of that name.
func (p *Profile) Without(filter string) *Profile {
	kept := *p
	kept.Filters = slices.DeleteFunc(slices.Clone(p.Filters), func(f Filter) bool { return f.Name() == filter })
	return &kept
}
