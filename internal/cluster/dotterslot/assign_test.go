package dotterslot

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// referenceAssign computes the assignment by deferred acceptance: each index
// proposes to the members in descending order of weight, and a member above its
// quota rejects its index of least weight.
func referenceAssign(members []Member, server string, kind Kind, count int) []int {
	holders := make([]int, count)
	refused := make([]map[int]bool, count)
	for i := range holders {
		holders[i] = noMember
		refused[i] = map[int]bool{}
	}
	if len(members) == 0 {
		return holders
	}
	seeds := memberSeeds(members, server, kind)
	quotas := memberQuotas(members, seeds, count)
	weight := func(m, i int) uint64 { return mix(seeds[m] + uint64(i+1)) }
	for changed := true; changed; {
		changed = false
		for i := range holders {
			if holders[i] != noMember {
				continue
			}
			changed = true
			best := noMember
			for m := range members {
				if !refused[i][m] && (best == noMember || weight(m, i) > weight(best, i)) {
					best = m
				}
			}
			holders[i] = best
			held, least := 0, i
			for j, h := range holders {
				if h != best {
					continue
				}
				held++
				if weight(best, j) < weight(best, least) {
					least = j
				}
			}
			if held > quotas[best] {
				refused[least][best] = true
				holders[least] = noMember
			}
		}
	}
	return holders
}

func membersNamed(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{Host: fmt.Sprintf("host-%d", i), Incarnation: 1}
	}
	return members
}

func TestAssignMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := membersNamed(rapid.IntRange(0, 12).Draw(t, "members"))
		count := rapid.IntRange(0, 64).Draw(t, "count")
		server := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "server")
		holders := Assign(members, server, KindSlot, count)
		require.Equal(t, referenceAssign(members, server, KindSlot, count), holders)

		held := make([]int, len(members))
		for _, h := range holders {
			if len(members) > 0 {
				held[h]++
			}
		}
		for _, p := range held {
			require.GreaterOrEqual(t, p, count/len(members))
			require.LessOrEqual(t, p, (count+len(members)-1)/len(members))
		}
	})
}

func TestAssignIgnoresOrderAndIncarnation(t *testing.T) {
	a := []Member{{"x", 1}, {"y", 1}, {"z", 1}}
	b := []Member{{"z", 7}, {"x", 5}, {"y", 9}}
	first, second := Assign(a, "s", KindSlot, 8), Assign(b, "s", KindSlot, 8)
	for i := range first {
		require.Equal(t, a[first[i]].Host, b[second[i]].Host)
	}
}

// TestAssignMovesFewIndexes bounds the number of indexes that change their holder
// when a member joins. The indexes of the joining member have to move; moves
// between the other members are to be few.
func TestAssignMovesFewIndexes(t *testing.T) {
	for members := 2; members <= 12; members++ {
		moved, toJoining := 0, 0
		for s := range 65 {
			server := fmt.Sprintf("server-%d", s)
			before := Assign(membersNamed(members), server, KindConnection, 64)
			after := Assign(membersNamed(members+1), server, KindConnection, 64)
			for i := range before {
				if before[i] != after[i] {
					moved++
				}
				if after[i] == members {
					toJoining++
				}
			}
		}
		t.Logf("%d to %d members: %d of %d connections move, %d of them to the joining member", members, members+1, moved, 65*64, toJoining)
		require.Less(t, moved, 2*toJoining)
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, members := range []int{3, 12, 24} {
		b.Run(fmt.Sprintf("Members=%d", members), func(b *testing.B) {
			list := membersNamed(members)
			for b.Loop() {
				Assign(list, "server", KindConnection, 64)
			}
		})
	}
}
