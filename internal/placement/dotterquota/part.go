package dotterquota

import (
	"math/bits"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Part is a part of a tenant's cap, as a multiple of the whole divided by Whole.
type Part int64

// Whole is the whole cap. Each number of shards up to ten divides it, so that equal parts lose
// nothing to rounding: a third of the cap of twelve tasks is four.
const Whole Part = 5_040_000

// Fraction returns the part as a fraction of the cap, for logs.
func (p Part) Fraction() float64 {
	return float64(p) / float64(Whole)
}

// Equal returns the part of the shard with the given index, from 0, if all have equal parts. The
// first one has what is left by rounding, so that the parts add up to the whole.
func Equal(index, shards int) Part {
	n := Part(max(1, shards))
	if index == 0 {
		return Whole - (n-1)*(Whole/n)
	}
	return Whole / n
}

// Needed returns the smallest part of the cap that room fits into, at most the whole. Only fields
// in which the cap is a limit count.
func Needed(room, cap dotterroom.Room) Part {
	part := Part(0)
	for _, f := range fields(cap, room, dotterroom.Room{}) {
		switch {
		case f.cap == 0 || f.a <= 0:
		case f.a >= f.cap:
			return Whole
		default:
			hi, lo := bits.Mul64(uint64(f.a), uint64(Whole))
			quotient, rest := bits.Div64(hi, lo, uint64(f.cap))
			if rest > 0 {
				quotient++
			}
			part = max(part, Part(quotient))
		}
	}
	return part
}

// Of returns the part of each field of room, rounded down.
func (p Part) Of(room dotterroom.Room) dotterroom.Room {
	return dotterroom.Room{MilliCores: p.of(room.MilliCores), MemoryMB: p.of(room.MemoryMB), Accelerators: p.of(room.Accelerators)}
}

// of multiplies in two steps, because the product of a large amount and a part overflows.
func (p Part) of(amount int64) int64 {
	whole, part := int64(Whole), int64(p)
	return amount/whole*part + amount%whole*part/whole
}
