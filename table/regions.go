package table

import (
	"encoding/json"
	"slices"
	"strings"
)

// regionSeparator separates the regions in a cell.
const regionSeparator = ","

// ParseRegions parses the output of FormatRegions, such as "a,b". It returns nil for an empty text.
func ParseRegions(text string) []string {
	if text == "" {
		return nil
	}
	var listed []string
	if strings.HasPrefix(text, "[") && json.Unmarshal([]byte(text), &listed) == nil {
		return listed
	}
	return strings.Split(text, regionSeparator)
}

// FormatRegions formats regions as "a,b", or as JSON if a name contains the separator of that list or is empty. An empty name
// must not be lost, since a row without regions may be served in all of them.
func FormatRegions(regions []string) string {
	if slices.ContainsFunc(regions, func(name string) bool { return name == "" || strings.Contains(name, regionSeparator) }) {
		if encoded, err := json.Marshal(regions); err == nil {
			return string(encoded)
		}
	}
	return strings.Join(regions, regionSeparator)
}
