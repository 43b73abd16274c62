package table

import "strings"

// regionSeparator separates the regions in a cell.
const regionSeparator = ","

// ParseRegions parses a list of regions such as "a,b". It returns nil for an empty text.
func ParseRegions(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, regionSeparator)
}

// FormatRegions is the inverse of ParseRegions.
func FormatRegions(regions []string) string { return strings.Join(regions, regionSeparator) }
