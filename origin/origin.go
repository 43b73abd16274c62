// Package origin holds where streams began. Servers of several releases (versions of their software)
// may serve side by side, and what two of them write does not fit together, so a stream continues only
// at the release that began it. The package does no I/O and reads no clock.
package origin

// Origin is the service and the release at which a stream began.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Release string `cbor:"2,keyasint,omitempty"`
}
