package route

import "slices"

// Weights of the scorers. Waiting dominates, since it decides the first-token
// target; a zone's distance is a millisecond and only breaks near ties.
const (
	weightWait   = 1.0
	weightPrefix = 0.5
	weightRoom   = 1.0
	weightZone   = 0.1
	weightIdle   = 1.0
)

var commonFilters = []Filter{ExcludedFilter{}, LeavingFilter{}, BreakerFilter{}}

// PrefillProfile chooses prefill engines.
func PrefillProfile() *Profile {
	return &Profile{
		Filters: commonFilters,
		Scorers: []Weighted{{WaitScorer{}, weightWait}, {PrefixScorer{}, weightPrefix}, {ZoneScorer{}, weightZone}},
		Picker:  BestPicker{},
	}
}

// DecodeProfile chooses decode engines.
func DecodeProfile() *Profile {
	filters := append([]Filter{MemoryFilter{}}, commonFilters...)
	return &Profile{
		Filters: filters,
		Scorers: []Weighted{{RoomScorer{}, weightRoom}, {ZoneScorer{}, weightZone}},
		Picker:  BestPicker{},
	}
}

// PlainProfile chooses servers of plain services.
func PlainProfile() *Profile {
	return &Profile{
		Filters: commonFilters,
		Scorers: []Weighted{{IdleScorer{}, weightIdle}, {ZoneScorer{}, weightZone}},
		Picker:  BestPicker{},
	}
}

// Without returns the profile with no filter of that name.
func (p *Profile) Without(filter string) *Profile {
	kept := *p
	kept.Filters = slices.DeleteFunc(slices.Clone(p.Filters), func(f Filter) bool { return f.Name() == filter })
	return &kept
}
