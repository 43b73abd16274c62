package trial

import (
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/request"
)

// disableFuncs maps the name of each protection that can be switched off to the
// function that switches it off.
var disableFuncs = map[string]func(*request.Protections){
	"witness": func(p *request.Protections) { p.Witness = false },
	"once":    func(p *request.Protections) { p.NoDuplicateCalls = false },
	"match":   func(p *request.Protections) { p.MatchTokens = false },
	"cancel":  func(p *request.Protections) { p.Cancel = false },
	"orphans": func(p *request.Protections) { p.CancelOrphans = false },
	"leaving": func(p *request.Protections) { p.AvoidDraining = false },
	"drain":   func(p *request.Protections) { p.Drain = false },
}

// ProtectionNames returns the sorted names of the protections that can be
// switched off.
func ProtectionNames() []string {
	names := make([]string, 0, len(disableFuncs))
	for name := range disableFuncs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ProtectionsExcept returns all protections except those in a comma-separated list
// of names.
func ProtectionsExcept(list string) (request.Protections, error) {
	protect := request.AllProtections()
	if list == "" {
		return protect, nil
	}
	for _, name := range strings.Split(list, ",") {
		off, ok := disableFuncs[name]
		if !ok {
			return protect, errors.Errorf("unknown protection %q: known protections are %v", name, ProtectionNames())
		}
		off(&protect)
	}
	return protect, nil
}
