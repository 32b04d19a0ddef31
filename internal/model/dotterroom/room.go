package dotterroom

import "fmt"

// Room is an amount of processor time, memory and accelerators.
type Room struct {
	MilliCores   int64 // thousandths of a core
	MemoryMB     int64 // megabytes
	Accelerators int64 // whole devices
}

// Add returns the sum of r and o.
func (r Room) Add(o Room) Room {
	return Room{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; components may be negative.
func (r Room) Sub(o Room) Room {
	return Room{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the component-wise maximum of r and o.
func (r Room) Max(o Room) Room {
	return Room{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether no component of r exceeds that of space.
func (r Room) Fits(space Room) bool {
	return r.MilliCores <= space.MilliCores && r.MemoryMB <= space.MemoryMB && r.Accelerators <= space.Accelerators
}

// IsZero reports whether every component is zero.
func (r Room) IsZero() bool {
	return r == Room{}
}

// DominantShare returns the largest of r's components as fractions of total. A
// component that is zero in total counts as 1 if r requires it, else as 0.
func (r Room) DominantShare(total Room) float64 {
	share := fraction(r.MilliCores, total.MilliCores)
	share = max(share, fraction(r.MemoryMB, total.MemoryMB))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

// String returns r in the format used in logs and messages.
func (r Room) String() string {
	return fmt.Sprintf("%dm/%dMB/%da", r.MilliCores, r.MemoryMB, r.Accelerators)
}

func fraction(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
