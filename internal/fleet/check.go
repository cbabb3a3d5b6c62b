package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxNameBytes limits the names of a target. Every member of the core and every
	// front keeps them, and passes them on.
	maxNameBytes = 256
	// maxQuotedBytes limits the part of an invalid value that an error quotes.
	maxQuotedBytes = 64
)

// maxStarted limits the start time of a target, in Unix milliseconds.
var maxStarted = time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// broadcast is the IPv4 limited broadcast address.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Check returns an error if requests cannot be sent to t, because one of its fields
// has no valid value. It does not tell whether the target exists.
func (t *Target) Check() error {
	for _, name := range []struct {
		field, value string
		optional     bool
	}{{"ID", t.ID, false}, {"service", t.Service, false}, {"zone", t.Zone, false}, {"model", t.Model, true}} {
		if err := checkName(name.value, name.optional); err != nil {
			return fmt.Errorf("the %s of the target is %.*q: %w", name.field, maxQuotedBytes, name.value, err)
		}
	}
	if err := checkAddress(t.Address); err != nil {
		return fmt.Errorf("the address of the target is %.*q: %w", maxQuotedBytes, t.Address, err)
	}
	if t.Started < 0 || t.Started >= maxStarted {
		return fmt.Errorf("the start time of the target is %d ms, want 0 to %d", t.Started, maxStarted-1)
	}
	return nil
}

// CheckID returns an error if no target can have the ID.
func CheckID(id string) error { return checkName(id, false) }

// CheckSoftware returns an error if no target can state the software version. A target
// without one may serve.
func CheckSoftware(version string) error { return checkName(version, true) }

// checkName returns an error if a name cannot be passed on in a header, a message or
// a log line.
func checkName(name string, optional bool) error {
	switch {
	case name == "" && !optional:
		return errors.New("it is empty")
	case len(name) > maxNameBytes:
		return fmt.Errorf("it has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return errors.New("it is not valid UTF-8")
	}
	for _, r := range name {
		if unicode.IsControl(r) {
			return errors.New("it has a control character")
		}
	}
	return nil
}

// checkAddress returns an error if address is not the IP address and port of one
// machine. Names are not resolved.
func checkAddress(address string) error {
	// The longest address and port is much shorter, and the error would quote it.
	if len(address) > maxNameBytes {
		return fmt.Errorf("it has %d bytes, at most %d are allowed", len(address), maxNameBytes)
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.New("it is not an IP address and a port up to 65535")
	}
	ip := parsed.Addr().Unmap()
	switch {
	case parsed.Port() == 0:
		return errors.New("its port is 0")
	case ip.IsUnspecified(), ip.IsMulticast(), ip == broadcast, ip.Zone() != "":
		return errors.New("it is not the address of one machine")
	}
	return nil
}
