package dottermember

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func testMember(host string, incarnation int64) Member {
	return Member{Host: host, Incarnation: incarnation, Address: host}
}

func joined(t *testing.T, r Record, members ...Member) Record {
	t.Helper()
	for _, m := range members {
		next, ok := r.WithJoined(m)
		require.True(t, ok)
		r = next
	}
	return r
}

func TestRecord(t *testing.T) {
	a, b := testMember("a", 1), testMember("b", 1)
	restarted := testMember("a", 2)
	all := func(Member, int64) bool { return true }
	tests := map[string]struct {
		change  func(t *testing.T, r Record) Record // applied to a record with members a and b
		epoch   int64
		members []Member
		open    int
		gone    []Member
	}{
		"JoinedAlready":   {change: func(t *testing.T, r Record) Record { return joined(t, r, b) }, epoch: 2, members: []Member{a, b}, open: 1},
		"JoinedAtAddress": {change: func(t *testing.T, r Record) Record { return joined(t, r, restarted) }, epoch: 3, members: []Member{restarted, b}, open: 2, gone: []Member{a}},
		"Left":            {change: func(_ *testing.T, r Record) Record { return r.WithLeft(a) }, epoch: 3, members: []Member{b}, open: 2},
		"LeftTwice":       {change: func(_ *testing.T, r Record) Record { return r.WithLeft(a).WithLeft(a) }, epoch: 3, members: []Member{b}, open: 2},
		"Gone":            {change: func(_ *testing.T, r Record) Record { return r.WithGone(a) }, epoch: 3, members: []Member{b}, open: 2, gone: []Member{a}},
		"GoneAfterLeft":   {change: func(_ *testing.T, r Record) Record { return r.WithLeft(a).WithGone(a).WithGone(a) }, epoch: 3, members: []Member{b}, open: 2, gone: []Member{a}},
		"GoneUnknown":     {change: func(_ *testing.T, r Record) Record { return r.WithGone(restarted) }, epoch: 2, members: []Member{a, b}, open: 1},
		"Closed":          {change: func(_ *testing.T, r Record) Record { return r.WithGone(a).WithClosed(all) }, epoch: 3, members: []Member{b}},
		"NotReleased": {change: func(_ *testing.T, r Record) Record {
			return r.WithClosed(func(m Member, _ int64) bool { return m != a })
		}, epoch: 2, members: []Member{a, b}, open: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			base := joined(t, Record{}, a, b)
			r := test.change(t, base)
			require.Equal(t, test.epoch, r.Current.Number)
			require.Equal(t, test.members, r.Current.Members)
			require.Len(t, r.Open, test.open)
			require.Equal(t, test.gone, append([]Member(nil), r.Gone...))
			require.Equal(t, joined(t, Record{}, a, b), base, "a record is never modified in place")
		})
	}
}

func TestOpenEpochsAreLimited(t *testing.T) {
	r := Record{}
	for i := range maxOpenEpochs + 1 {
		r = joined(t, r, testMember(fmt.Sprint("host-", i), 1))
	}
	require.Len(t, r.Open, maxOpenEpochs)
	_, ok := r.WithJoined(testMember("another", 1))
	require.False(t, ok)
	_, ok = r.WithJoined(testMember("host-0", 1))
	require.True(t, ok, "a process that is already a member needs no new epoch")
}
