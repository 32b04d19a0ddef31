package dotterdirectory

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

type fakeList struct {
	hosts []dotterhost.Host
	err   error
}

func (f *fakeList) Hosts(context.Context) ([]dotterhost.Host, error) {
	return f.hosts, f.err
}

func (f *fakeList) set(err error, names ...string) {
	f.err = err
	f.hosts = nil
	for _, n := range names {
		f.hosts = append(f.hosts, dotterhost.Host{Name: n})
	}
}

func TestAbsence(t *testing.T) {
	type read struct {
		err   error
		names []string
	}
	unavailable := dotterelusher.ErrHostListUnavailable
	tests := map[string]struct {
		reads  []read // one per second
		absent bool
		length dotterclock.Millis
	}{
		"NeverRead":         {reads: []read{{err: unavailable}, {err: unavailable}}},
		"Listed":            {reads: []read{{names: []string{"h"}}, {names: []string{"h"}}}},
		"NeverListed":       {reads: []read{{names: []string{"o"}}, {names: []string{"o"}}, {names: []string{"o"}}}, absent: true, length: 2000},
		"Disappeared":       {reads: []read{{names: []string{"h"}}, {}, {}, {}}, absent: true, length: 2000},
		"CameBack":          {reads: []read{{names: []string{"h"}}, {}, {names: []string{"h"}}}},
		"FailedReadsAfter":  {reads: []read{{names: []string{"h"}}, {}, {err: unavailable}, {err: unavailable}}, absent: true, length: 0},
		"FailedReadsBefore": {reads: []read{{names: []string{"h"}}, {err: unavailable}, {err: unavailable}, {}}, absent: true, length: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := dotterclock.NewManual(1)
			list := &fakeList{}
			d := New(list, clock, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
			for _, r := range test.reads {
				clock.Advance(dotterclock.Second)
				list.set(r.err, r.names...)
				d.Refresh(t.Context())
			}
			since, until, absent := d.Absence("h")
			require.Equal(t, test.absent, absent)
			require.Equal(t, test.length, until-since)
		})
	}
}

func TestFailedReadKeepsLastCopy(t *testing.T) {
	list := &fakeList{}
	d := New(list, dotterclock.NewManual(1), zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	list.set(nil, "h")
	changed := d.Changed()
	d.Refresh(t.Context())
	<-changed
	list.set(dotterelusher.ErrHostListUnavailable)
	d.Refresh(t.Context())
	require.Len(t, d.Hosts(), 1)
}
