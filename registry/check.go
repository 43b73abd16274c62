package registry

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/table"
)

const (
	// maxIDBytes is the longest key of the list of servers: its length is one byte in the platform's log.
	maxIDBytes = 255
	// MaxNameBytes bounds a service, a zone and a release in bytes. A digest of an image, the longest name in
	// use, has 71. Siblings send each other 256 releases in one datagram of 64 KB.
	MaxNameBytes = 96
	// MaxSlots is far above the number of requests that a server processes at the same time, which is 64 in
	// the reference deployments. The slots of all servers of a service are added up.
	MaxSlots = 1 << 16
	// MaxExact is the largest whole number that JSON carries exactly on all platforms, as a float64.
	MaxExact = 1<<53 - 1
	// MaxColdMillis is far above the time in which a server is slow after its start, which is some seconds.
	MaxColdMillis = 24 * 60 * 60 * 1000
)

// Check returns an error for an entry that no server can have written. Entries also come from other writers of the
// list, and from siblings of an older build that do not check them.
func (e *Entry) Check() error {
	if err := checkID(e.ID); err != nil {
		return err
	}
	switch {
	case e.Service == "":
		return errors.New("service is missing")
	case max(len(e.Service), len(e.Zone), len(e.Release)) > MaxNameBytes:
		return errors.Errorf("service, zone or version has more than %d bytes", MaxNameBytes)
	case e.Slots < 0 || e.Slots > MaxSlots:
		return errors.Errorf("slots are out of range: %d", e.Slots)
	case e.Weights < 0 || e.Weights > MaxExact:
		return errors.Errorf("version of the weights is out of range: %d", e.Weights)
	case e.Born < 0 || e.Born > MaxExact:
		return errors.Errorf("start time is out of range: %d", e.Born)
	case e.ColdMillis < 0 || e.ColdMillis > MaxColdMillis:
		return errors.Errorf("remaining cold time is out of range: %d ms", e.ColdMillis)
	case e.Role != "" && e.Role != table.RolePrefill && e.Role != table.RoleDecode:
		return errors.New("role is unknown")
	}
	return checkAddress(e.Address)
}

// checkID returns an error for an ID that cannot be sent in a header field, or that could be the name of a run of
// another server.
func checkID(id string) error {
	switch {
	case id == "" || len(id) > maxIDBytes:
		return errors.Errorf("id has %d bytes", len(id))
	case strings.Contains(id, RunSeparator):
		return errors.Errorf("id contains %q", RunSeparator)
	case !isVisible(id):
		return errors.New("id has characters other than visible ASCII")
	}
	return nil
}

func isVisible(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// checkAddress returns an error for an address that is not that of one server. A zone of an IPv6 address may hold
// any characters, and the address is sent in header fields.
func checkAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse address")
	}
	ip := at.Addr().Unmap()
	switch {
	case at.Port() == 0:
		return errors.New("port of the address is 0")
	case ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast:
		return errors.New("address is not that of one server")
	}
	return nil
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
