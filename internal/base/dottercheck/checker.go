package dottercheck

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// namePattern matches valid names of hosts, failure domains, teams, partners and
// templates. It is restrictive because names become parts of store keys and URLs.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Number is a type that Range can check.
type Number interface {
	~int | ~int64 | ~float64
}

// maxFaults is the number of faults of a document that are recorded. Further ones are counted.
const maxFaults = 100

// Checker collects faults. Its zero value is ready to use.
type Checker struct {
	faults []Fault
	more   int
}

// Fail records a fault of the field at pointer.
func (c *Checker) Fail(pointer, problem string) {
	c.FailAt(pointer, 0, problem)
}

// FailAt records a fault of the field at pointer in the given line; 0 is an unknown line.
func (c *Checker) FailAt(pointer string, line int, problem string) {
	if len(c.faults) == maxFaults {
		c.more++
		return
	}
	c.faults = append(c.faults, Fault{Pointer: pointer, Line: line, Problem: problem})
}

// Full reports whether faults have been left out of the list, as any further one would be.
func (c *Checker) Full() bool {
	return c.more > 0
}

// Range records a fault unless value is between low and high, inclusive.
func Range[T Number](c *Checker, pointer string, value, low, high T, unit string) {
	if value >= low && value <= high {
		return
	}
	c.Fail(pointer, strings.TrimSpace(fmt.Sprintf("%v is out of range, allowed is %v to %v %s", value, low, high, unit)))
}

// Name records a fault unless value is a valid name.
func (c *Checker) Name(pointer, value string) {
	if namePattern.MatchString(value) {
		return
	}
	c.Fail(pointer, fmt.Sprintf("%q is not a name, allowed are 1 to 63 letters, digits, '.', '_' and '-', a letter or digit first", value))
}

// Address records a fault unless value is an IP address with a port other than 0.
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

// Unique records a fault if value is in seen, and adds it to seen.
func (c *Checker) Unique(pointer, value string, seen map[string]bool) {
	if seen[value] {
		c.Fail(pointer, fmt.Sprintf("%q stands twice", value))
	}
	seen[value] = true
}

// Err returns the faults as a *Faults with the given source, or nil if there are none.
func (c *Checker) Err(source string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Faults{Source: source, List: c.faults, More: c.more}
}
