package dottercheck

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// namePattern is what names of hosts, failure domains, teams, partners and
// templates look like: they become parts of store keys and URLs.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Number is any type that a range can be given for.
type Number interface {
	~int | ~int64 | ~float64
}

// Checker collects faults; its zero value is ready.
type Checker struct {
	faults []Fault
}

// Fail records that the field at pointer has the problem.
func (c *Checker) Fail(pointer, problem string) {
	c.faults = append(c.faults, Fault{Pointer: pointer, Problem: problem})
}

// Range records a fault unless value lies between least and most, both allowed.
func Range[T Number](c *Checker, pointer string, value, least, most T, unit string) {
	if value >= least && value <= most {
		return
	}
	c.Fail(pointer, strings.TrimSpace(fmt.Sprintf("%v is out of range, allowed is %v to %v %s", value, least, most, unit)))
}

// Name records a fault unless value can name something.
func (c *Checker) Name(pointer, value string) {
	if namePattern.MatchString(value) {
		return
	}
	c.Fail(pointer, fmt.Sprintf("%q is not a name, allowed are 1 to 63 letters, digits, '.', '_' and '-', a letter or digit first", value))
}

// Address records a fault unless value is an IP number and a port.
func (c *Checker) Address(pointer, value string) {
	address, err := netip.ParseAddrPort(value)
	if err == nil && address.Port() != 0 {
		return
	}
	c.Fail(pointer, fmt.Sprintf("%q is not an address, allowed is an IP number and a port from 1 to 65535, as in 192.0.2.1:8080", value))
}

// OneOf records a fault unless value is one of allowed.
func (c *Checker) OneOf(pointer, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	c.Fail(pointer, fmt.Sprintf("%q is not allowed, allowed are %s", value, strings.Join(allowed, ", ")))
}

// Unique records a fault if value was in seen, and adds it.
func (c *Checker) Unique(pointer, value string, seen map[string]bool) {
	if seen[value] {
		c.Fail(pointer, fmt.Sprintf("%q stands twice", value))
	}
	seen[value] = true
}

// Err returns the faults found as a *Faults, or nil.
func (c *Checker) Err(source string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Faults{Source: source, List: c.faults}
}
