package trial

import (
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/request"
)

// switches names the protections that a trial can do without.
var switches = map[string]func(*request.Protections){
	"witness": func(p *request.Protections) { p.Witness = false },
	"once":    func(p *request.Protections) { p.Once = false },
	"match":   func(p *request.Protections) { p.Match = false },
	"cancel":  func(p *request.Protections) { p.Cancel = false },
	"orphans": func(p *request.Protections) { p.Orphans = false },
	"leaving": func(p *request.Protections) { p.Leaving = false },
	"drain":   func(p *request.Protections) { p.Drain = false },
}

// ProtectionNames lists the protections that can be switched off.
func ProtectionNames() []string {
	names := make([]string, 0, len(switches))
	for name := range switches {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ProtectWithout returns every protection but those of a list of names.
func ProtectWithout(list string) (request.Protections, error) {
	protect := request.AllProtections()
	if list == "" {
		return protect, nil
	}
	for _, name := range strings.Split(list, ",") {
		off, ok := switches[name]
		if !ok {
			return protect, errors.Errorf("no protection %q; there are %v", name, ProtectionNames())
		}
		off(&protect)
	}
	return protect, nil
}
