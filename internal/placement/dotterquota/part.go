package dotterquota

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Part is a part of a tenant's cap, in millionths.
type Part int64

// Whole is the whole cap.
const Whole Part = 1_000_000

// Equal returns the part of each of the given number of shards, rounded down.
func Equal(shards int) Part {
	return Whole / Part(max(1, shards))
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
