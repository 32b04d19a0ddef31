package dotterslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// noMember is the holder of an index that is not assigned.
const noMember = -1

// candidate is a possible assignment of an index to a member, with its hash weight.
type candidate struct {
	weight uint64
	member int
	index  int
}

// Assign returns, for each index of the server's count slots or connections,
// the position of its holder in members, or -1 if there are no members.
//
// Each member holds count/len(members) indexes. The remainder goes to the
// members that rank first by rendezvous hashing of member and server. Within
// these quotas, an index goes to the member with the greatest hash for it, so
// that few indexes move when a member joins or leaves. The hashes use only the
// host name, so a restarted process holds the same indexes as its predecessor.
func Assign(members []Member, server string, kind Kind, count int) []int {
	holders := make([]int, count)
	for i := range holders {
		holders[i] = noMember
	}
	if len(members) == 0 || count == 0 {
		return holders
	}
	seeds := memberSeeds(members, server, kind)
	quotas := memberQuotas(members, seeds, count)
	for _, c := range sortedCandidates(members, seeds, count) {
		if holders[c.index] != noMember || quotas[c.member] == 0 {
			continue
		}
		holders[c.index] = c.member
		quotas[c.member]--
	}
	return holders
}

// memberSeeds returns a hash of the kind, the server and the host for each member.
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
		return compareCandidates(members, candidate{seeds[a], a, 0}, candidate{seeds[b], b, 0})
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

// sortedCandidates returns all pairs of member and index by descending weight.
func sortedCandidates(members []Member, seeds []uint64, count int) []candidate {
	candidates := make([]candidate, 0, len(members)*count)
	for m := range members {
		for i := range count {
			candidates = append(candidates, candidate{weight: mix(seeds[m] + uint64(i+1)), member: m, index: i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return compareCandidates(members, a, b)
	})
	return candidates
}

// compareCandidates orders candidates by descending weight, then by member and index.
func compareCandidates(members []Member, a, b candidate) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(members[a.member].Host, members[b.member].Host),
		cmp.Compare(members[a.member].Incarnation, members[b.member].Incarnation),
		cmp.Compare(a.index, b.index),
	)
}

// mix is the finalizer of SplitMix64, a bijection on 64-bit words.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
