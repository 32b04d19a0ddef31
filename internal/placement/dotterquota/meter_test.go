package dotterquota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// TestMeter guards against a tenant whose jobs take the place of others' although it sends more
// than its rate, and against one that is put back although it does not.
func TestMeter(t *testing.T) {
	every := func(interval dotterclock.Millis, count int) []dotterclock.Millis {
		var times []dotterclock.Millis
		for i := range count {
			times = append(times, 1_000_000+dotterclock.Millis(i)*interval)
		}
		return times
	}
	tests := map[string]struct {
		rate   float64
		times  []dotterclock.Millis
		within int
	}{
		"at its rate":              {rate: 10, times: every(100, 300), within: 300},
		"half its rate":            {rate: 10, times: every(200, 300), within: 300},
		"one second at once":       {rate: 10, times: every(0, 10), within: 10},
		"two seconds at once":      {rate: 10, times: every(0, 20), within: 10},
		"7.5 times its rate, 6.5s": {rate: 10, times: every(1000/75, 487), within: 10 + 63},
		"one in four seconds":      {rate: 0.25, times: every(4000, 20), within: 20},
		"one a second of that":     {rate: 0.25, times: every(1000, 20), within: 5},
		"no rate":                  {times: every(1000, 20)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var m Meter
			var arrivals []*Arrival
			for i, at := range tc.times {
				arrivals = append(arrivals, m.Add(at, fmt.Sprintf("%04d", i)))
				m.Settle(at, tc.rate)
			}
			assert.Equal(t, tc.within, countWithin(arrivals))
		})
	}
}

func countWithin(arrivals []*Arrival) int {
	n := 0
	for _, a := range arrivals {
		if !a.Beyond {
			n++
		}
	}
	return n
}

// TestSuccessorMetersAlike guards against a takeover that gives a tenant a second burst: the
// successor reads the stored jobs in any order and all at once.
func TestSuccessorMetersAlike(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0.2, 30).Draw(r, "rate")
		var first, second Meter
		var firsts []*Arrival
		at := dotterclock.Millis(1_000_000)
		late := map[int]bool{}
		count := rapid.IntRange(1, 200).Draw(r, "count")
		for i := range count {
			at += dotterclock.Millis(rapid.IntRange(0, 200).Draw(r, "gap"))
			skewed := at + dotterclock.Millis(rapid.IntRange(-300, 300).Draw(r, "skew"))
			firsts = append(firsts, first.Add(skewed, fmt.Sprint(i)))
			if rapid.Bool().Draw(r, "settle") {
				first.Settle(at, rate)
			}
			late[i] = i%9 == 0 // handed over to another shard
		}
		for i := range firsts {
			if late[i] && firsts[i].At >= at-arrivalWindow/2 {
				first.Remove(firsts[i])
			} else {
				late[i] = false
			}
		}
		first.Settle(at, rate)
		byIndex := map[int]*Arrival{}
		order := rand.New(rand.NewPCG(1, uint64(count))).Perm(count)
		for _, i := range order {
			if !late[i] {
				byIndex[i] = second.Add(firsts[i].At, firsts[i].ID)
			}
		}
		second.Settle(at, rate)
		for i, a := range firsts {
			if !late[i] && a.Beyond != byIndex[i].Beyond {
				r.Fatalf("arrival %d at %d: %v for the first owner, %v for its successor", i, a.At, a.Beyond, byIndex[i].Beyond)
			}
		}
	})
}
