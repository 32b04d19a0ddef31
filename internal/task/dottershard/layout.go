package dottershard

import (
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

// ErrLayoutCorrupt means that a stored layout can't be decoded.
var ErrLayoutCorrupt = eris.New("layout: corrupt")

// LayoutPrefix is the prefix of every layout's key.
const LayoutPrefix = "layouts/"

// Layout says which racks of a failure domain belong to which of its shards.
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

// Names returns the shards of the layout.
func (l Layout) Names() []Name {
	names := make([]Name, l.Shards)
	for i := range names {
		names[i] = Name{FailureDomain: l.FailureDomain, Number: i}
	}
	return names
}

// WithRacks returns a copy of l in which each new rack has the shard that has
// fewest, and whether any was new.
func (l Layout) WithRacks(racks []string) (Layout, bool) {
	grown := NewLayout(l.FailureDomain, l.Shards)
	counts := make([]int, l.Shards)
	for rack, shard := range l.Racks {
		grown.Racks[rack] = shard
		counts[shard]++
	}
	sorted := append([]string(nil), racks...)
	sort.Strings(sorted)
	changed := false
	for _, rack := range sorted {
		if _, known := grown.Racks[rack]; known {
			continue
		}
		shard := fewest(counts)
		grown.Racks[rack] = shard
		counts[shard]++
		changed = true
	}
	return grown, changed
}

func fewest(counts []int) int {
	best := 0
	for i, c := range counts {
		if c < counts[best] {
			best = i
		}
	}
	return best
}

// Owns reports whether the racks of shard number hold rack.
func (l Layout) Owns(number int, rack string) bool {
	shard, known := l.Racks[rack]
	return known && shard == number
}

// HasRacks reports whether shard number has any rack.
func (l Layout) HasRacks(number int) bool {
	for _, shard := range l.Racks {
		if shard == number {
			return true
		}
	}
	return false
}

// Encode returns l as it is stored.
func (l Layout) Encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // a layout holds only plain values
	}
	return data
}

// DecodeLayout returns the layout that data holds, or ErrLayoutCorrupt.
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
