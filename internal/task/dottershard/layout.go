package dottershard

import (
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

// ErrLayoutCorrupt means that a stored layout cannot be decoded.
var ErrLayoutCorrupt = eris.New("layout: corrupt")

// LayoutPrefix is the prefix of the store keys of all layouts.
const LayoutPrefix = "layouts/"

// Layout maps the racks of a failure domain to the domain's shards.
type Layout struct {
	FailureDomain string
	Shards        int
	Racks         map[string]int // shard number by rack
}

// NewLayout returns a layout without racks.
func NewLayout(failureDomain string, shards int) Layout {
	return Layout{FailureDomain: failureDomain, Shards: shards, Racks: map[string]int{}}
}

// Key returns the store key of the layout.
func (l Layout) Key() string {
	return LayoutPrefix + l.FailureDomain
}

// Names returns the names of all shards of the failure domain.
func (l Layout) Names() []Name {
	names := make([]Name, l.Shards)
	for i := range names {
		names[i] = Name{FailureDomain: l.FailureDomain, Number: i}
	}
	return names
}

// WithRacks returns a copy of l in which each new rack is assigned to the shard
// with the fewest racks, and reports whether any rack was new.
func (l Layout) WithRacks(racks []string) (Layout, bool) {
	extended := NewLayout(l.FailureDomain, l.Shards)
	counts := make([]int, l.Shards)
	for rack, shard := range l.Racks {
		extended.Racks[rack] = shard
		counts[shard]++
	}
	sorted := append([]string(nil), racks...)
	sort.Strings(sorted)
	changed := false
	for _, rack := range sorted {
		if _, known := extended.Racks[rack]; known {
			continue
		}
		shard := indexOfMin(counts)
		extended.Racks[rack] = shard
		counts[shard]++
		changed = true
	}
	return extended, changed
}

// indexOfMin returns the index of the first minimum of counts.
func indexOfMin(counts []int) int {
	best := 0
	for i, c := range counts {
		if c < counts[best] {
			best = i
		}
	}
	return best
}

// Owns reports whether rack belongs to the shard with the given number.
func (l Layout) Owns(number int, rack string) bool {
	shard, known := l.Racks[rack]
	return known && shard == number
}

// HasRacks reports whether the shard with the given number has any racks.
func (l Layout) HasRacks(number int) bool {
	for _, shard := range l.Racks {
		if shard == number {
			return true
		}
	}
	return false
}

// Encode returns the stored form of l.
func (l Layout) Encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // all fields have types that JSON can encode
	}
	return data
}

// DecodeLayout decodes data. It returns ErrLayoutCorrupt if data is not a layout
// or has no shards.
func DecodeLayout(data []byte) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(data, &l); err != nil {
		return Layout{}, eris.Wrapf(ErrLayoutCorrupt, "decode: %v", err)
	}
	if l.Shards < 1 {
		return Layout{}, eris.Wrap(ErrLayoutCorrupt, "no shards")
	}
	return l, nil
}
