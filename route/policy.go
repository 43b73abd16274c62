package route

// Policy is a whole way to place model requests.
type Policy struct {
	Name    string
	Prefill *Profile
	Decode  *Profile
	// Reserve has memory promised before prefill starts.
	Reserve bool
	// RefuseEarly refuses requests whose first token can no longer come in
	// time.
	RefuseEarly bool
}

// DefaultPolicy is mastwheel's own.
func DefaultPolicy() Policy {
	return Policy{
		Name: "mastwheel", Prefill: PrefillProfile(), Decode: DecodeProfile(), Reserve: true, RefuseEarly: true,
	}
}

// Baselines are the policies that mastwheel is measured against: each chooses
// by itself on lagged reports, sends at once and tries again when refused.
func Baselines() []Policy {
	blind := func(name string, picker func() Picker, scorers ...Weighted) Policy {
		profile := func() *Profile {
			return &Profile{Filters: commonFilters, Scorers: scorers, Picker: picker()}
		}
		return Policy{Name: name, Prefill: profile(), Decode: profile()}
	}
	best := func() Picker { return BestPicker{} }
	affinity := blind("prefix affinity", best, Weighted{PrefixScorer{}, 1})
	affinity.Decode = &Profile{Filters: commonFilters, Picker: RandomPicker{}}
	return []Policy{
		blind("random", func() Picker { return RandomPicker{} }),
		blind("round robin", func() Picker { return &RoundRobinPicker{} }),
		blind("least loaded", best, Weighted{ReportedScorer{}, 1}),
		blind("two choices", func() Picker { return TwoChoicesPicker{} }, Weighted{ReportedScorer{}, 1}),
		affinity,
	}
}
