package table

import "strings"

// regionSeparator stands between two regions of a cell.
const regionSeparator = ","

// ParseRegions reads "a,b"; nil without any.
func ParseRegions(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, regionSeparator)
}

// FormatRegions writes what ParseRegions reads.
func FormatRegions(regions []string) string { return strings.Join(regions, regionSeparator) }
