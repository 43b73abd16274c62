package route

// Policy is a complete way to place model requests.
type Policy struct {
	Name    string
	Prefill *Profile
	Decode  *Profile
	// Reserve requires that decode memory is reserved before prefill starts.
	Reserve bool
	// RefuseEarly refuses requests whose first token can no longer arrive in time.
	RefuseEarly bool
}

// DefaultPolicy returns mastwheel's own policy.
func DefaultPolicy() Policy {
	return Policy{
		Name: "mastwheel", Prefill: PrefillProfile(), Decode: DecodeProfile(), Reserve: true, RefuseEarly: true,
	}
}

// Baselines returns the policies that mastwheel is compared with. Each selects servers only by
// their delayed reports, sends requests without a reservation, and retries after a refusal.
func Baselines() []Policy {
	baseline := func(name string, picker func() Picker, scorers ...WeightedScorer) Policy {
		profile := func() *Profile {
			return &Profile{Filters: commonFilters, Scorers: scorers, Picker: picker()}
		}
		return Policy{Name: name, Prefill: profile(), Decode: profile()}
	}
	best := func() Picker { return BestPicker{} }
	affinity := baseline("prefix affinity", best, WeightedScorer{PrefixScorer{}, 1})
	affinity.Decode = &Profile{Filters: commonFilters, Picker: RandomPicker{}}
	return []Policy{
		baseline("random", func() Picker { return RandomPicker{} }),
		baseline("round robin", func() Picker { return &RoundRobinPicker{} }),
		baseline("least loaded", best, WeightedScorer{ReportedScorer{}, 1}),
		baseline("two choices", func() Picker { return TwoChoicesPicker{} }, WeightedScorer{ReportedScorer{}, 1}),
		affinity,
	}
}
