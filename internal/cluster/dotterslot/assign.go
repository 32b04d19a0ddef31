package dotterslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nobody marks an index that no member holds.
const nobody = -1

// claim is the weight with which a member claims one index.
type claim struct {
	weight uint64
	member int
	index  int
}

// Assign returns, for each index of the server's count slots or connections,
// the position in members of its holder, or -1 if there are no members.
//
// Each member holds count/len(members) indexes; the remainder goes to the
// members that come first by rendezvous hashing of member and server. Within
// these quotas an index goes to the member with the greatest hash for it, so
// that few indexes move when a member comes or goes. The hashes use the host's
// name only: a process that is started again holds what its predecessor held.
func Assign(members []Member, server string, kind Kind, count int) []int {
	holders := make([]int, count)
	for i := range holders {
		holders[i] = nobody
	}
	if len(members) == 0 || count == 0 {
		return holders
	}
	seeds := memberSeeds(members, server, kind)
	quotas := memberQuotas(members, seeds, count)
	for _, c := range rankedClaims(members, seeds, count) {
		if holders[c.index] != nobody || quotas[c.member] == 0 {
			continue
		}
		holders[c.index] = c.member
		quotas[c.member]--
	}
	return holders
}

// memberSeeds returns a hash of each member together with the server and kind.
func memberSeeds(members []Member, server string, kind Kind) []uint64 {
	seeds := make([]uint64, len(members))
	text := make([]byte, 0, 128)
	for i, m := range members {
		text = append(text[:0], byte(kind))
		text = append(text, server...)
		text = append(text, 0)
		text = append(text, m.Host...)
		seeds[i] = xxhash.Sum64(text)
	}
	return seeds
}

// memberQuotas returns how many of count indexes each member holds.
func memberQuotas(members []Member, seeds []uint64, count int) []int {
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return compareClaims(members, claim{seeds[a], a, 0}, claim{seeds[b], b, 0})
	})
	quotas := make([]int, len(members))
	for rank, i := range order {
		quotas[i] = count / len(members)
		if rank < count%len(members) {
			quotas[i]++
		}
	}
	return quotas
}

// rankedClaims returns every member's claim on every index, the greatest first.
func rankedClaims(members []Member, seeds []uint64, count int) []claim {
	claims := make([]claim, 0, len(members)*count)
	for m := range members {
		for i := range count {
			claims = append(claims, claim{weight: mix(seeds[m] + uint64(i+1)), member: m, index: i})
		}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return compareClaims(members, a, b)
	})
	return claims
}

// compareClaims orders claims by falling weight; equal weights go by member and index.
func compareClaims(members []Member, a, b claim) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(members[a.member].Host, members[b.member].Host),
		cmp.Compare(members[a.member].Incarnation, members[b.member].Incarnation),
		cmp.Compare(a.index, b.index),
	)
}

// mix spreads the bits of x over the whole word, one to one.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
