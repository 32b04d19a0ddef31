package dotterscheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhead"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterreplica"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterpartition"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

// publishedShard is a host that owns no shard, and the heads of the owners that it sees. The test
// writes the heads.
type publishedShard struct {
	t      *testing.T
	store  *dottermemory.Store
	host   *Scheduler
	commit int64
}

func newPublishedShard(t *testing.T, admission bool, shards ...string) *publishedShard {
	clock := dotterclock.NewSystem()
	p := &publishedShard{t: t, store: dottermemory.New(clock)}
	var partition dotterpartition.Partition
	for _, name := range shards {
		partition.Shards = append(partition.Shards, dotterpartition.Shard{Name: name, Domains: []string{name}})
		p.publish(name, dottervacancy.Vacancy{Published: true})
	}
	encoded, err := json.Marshal(partition)
	require.NoError(t, err)
	_, err = p.store.Put(t.Context(), dotterentry.PartitionKey, encoded, 0, "")
	require.NoError(t, err)
	// A weak host of another failure domain does not take the shards over during the test.
	p.host, err = New(Settings{
		Host: "z1", FailureDomain: "z", LinkAddress: "127.0.0.1:0", Board: dotterboard.Settings{Admission: admission},
	}, Platform{
		Store: p.store, OperatorPrefix: "Operators/", DirectoryPrefix: "Workers/",
		NewOperatorSink: func(onChange func(dotterqueues.Document, map[string]bool)) dotterreplica.Sink {
			return operatorSink{onChange: onChange}
		},
		NewDirectorySink: func(onChange func(map[string]dotterworker.Worker)) dotterreplica.Sink {
			return &directorySink{onChange: onChange}
		},
	}, clock, zap.NewNop())
	require.NoError(t, err)
	p.host.Start()
	t.Cleanup(func() { p.host.Leave(); p.host.Stop() })
	return p
}

// publish writes the head of a live owner.
func (p *publishedShard) publish(shard string, v dottervacancy.Vacancy) {
	p.commit++
	encoded, err := json.Marshal(dotterhead.Head{Host: "owner-" + shard, Address: "127.0.0.1:1", Epoch: 1, Commit: p.commit, Vacancy: v})
	require.NoError(p.t, err)
	p.write(shard, encoded)
}

func (p *publishedShard) write(shard string, head []byte) {
	key := dotterentry.HeadPrefix + shard
	version := dotterkey.Version(0)
	if e, err := p.store.Get(p.t.Context(), key); err == nil {
		version = e.Version
	}
	_, err := p.store.Put(p.t.Context(), key, head, version, "")
	require.NoError(p.t, err)
}

// overloadedVacancy returns the vacancy of a shard with a minute of work.
func overloadedVacancy() dottervacancy.Vacancy {
	return dottervacancy.Vacancy{
		Published: true, Services: map[string]dottervacancy.Service{"pool": {Capacity: 64_000}},
		Outlook: dottervacancy.Outlook{At: wallTime(), Lanes: []dottervacancy.Lane{{
			Service: "pool", Drain: 10_000, Queued: []dottervacancy.Queued{{Slack: 1000, Left: 60_000, Work: 60 * 15_000}},
		}}},
	}
}

// newJob returns a job of two steps.
func newJob(number int) dotterjob.Job {
	after := step(2, 500)
	after.After = []int{0}
	return dotterjob.Job{
		ID: dotterjob.ID(fmt.Sprintf("%016x", number)), Queue: testQueue, Spec: "spec", Steps: []dotterjob.Step{step(2, 500), after},
		AcceptedAt: wallTime(),
	}
}

func (p *publishedShard) refuses() bool {
	return p.host.Admission(newJob(1)).Refused
}

// awaitRefusing publishes what vacancy returns until the host refuses jobs, and reports whether it
// does within some seconds.
func (p *publishedShard) awaitRefusing(vacancy func(shard string) dottervacancy.Vacancy, shards ...string) bool {
	for range 60 {
		for _, shard := range shards {
			p.publish(shard, vacancy(shard))
		}
		if p.refuses() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// TestRefusalNeedsEveryLiveShard guards against a job that is refused although a shard could serve
// it, and against shards that cannot run it or have no owner and let it wait without end.
func TestRefusalNeedsEveryLiveShard(t *testing.T) {
	without := func(change func(*dottervacancy.Vacancy)) func() dottervacancy.Vacancy {
		return func() dottervacancy.Vacancy {
			v := overloadedVacancy()
			change(&v)
			return v
		}
	}
	tests := map[string]struct {
		off    bool
		second func() dottervacancy.Vacancy // of a second shard; nil: there is one shard
		want   bool
	}{
		"one shard":                       {want: true},
		"switched off":                    {off: true},
		"both are overloaded":             {second: overloadedVacancy, want: true},
		"the second has room":             {second: without(func(v *dottervacancy.Vacancy) { v.Outlook.Lanes = nil })},
		"the second publishes no outlook": {second: without(func(v *dottervacancy.Vacancy) { v.Outlook = dottervacancy.Outlook{} })},
		"the second loads its shard":      {second: func() dottervacancy.Vacancy { return dottervacancy.Vacancy{} }},
		"the second has no workers for it": {second: func() dottervacancy.Vacancy {
			return dottervacancy.Vacancy{Published: true, Outlook: dottervacancy.Outlook{At: wallTime()}}
		}, want: true},
		"the outlook of the second is stale":  {second: without(func(v *dottervacancy.Vacancy) { v.Outlook.At -= 10_000 })},
		"the outlook of the second is absurd": {second: without(func(v *dottervacancy.Vacancy) { v.Outlook.Lanes[0].Drain = -1 })},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shards := []string{"a"}
			if tc.second != nil {
				shards = append(shards, "b")
			}
			p := newPublishedShard(t, !tc.off, shards...)
			assert.Equal(t, tc.want, p.awaitRefusing(func(shard string) dottervacancy.Vacancy {
				if shard == "b" {
					return tc.second()
				}
				return overloadedVacancy()
			}, shards...))
		})
	}
}

// TestOutlookExpires guards against refusals by an outlook whose owner was killed, that cannot be
// read any more, or that was replaced by one which cannot be decoded.
func TestOutlookExpires(t *testing.T) {
	tests := map[string]func(p *publishedShard){
		"owner killed":       func(*publishedShard) {},
		"store away":         func(p *publishedShard) { p.store.SetDown(true) },
		"head released":      func(p *publishedShard) { p.write("a", []byte(`{"Host":"","Epoch":1,"Commit":999}`)) },
		"head not decodable": func(p *publishedShard) { p.write("a", []byte(`{`)) },
		"outlook of no outlook": func(p *publishedShard) {
			p.write("a", []byte(`{"Host":"owner-a","Epoch":1,"Commit":999,"Vacancy":{"Published":true,"Outlook":[7]}}`))
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPublishedShard(t, true, "a")
			require.True(t, p.awaitRefusing(func(string) dottervacancy.Vacancy { return overloadedVacancy() }, "a"))
			disturb(p)
			require.Eventually(t, func() bool { return !p.refuses() }, 10*time.Second, 10*time.Millisecond)
			for range 20 {
				assert.False(t, p.refuses(), "an outlook is used again")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestRepeatedSubmissionIsNotRefused guards against a caller that repeats a submission which was
// accepted before the overload, and is told that its job never runs.
func TestRepeatedSubmissionIsNotRefused(t *testing.T) {
	p := newPublishedShard(t, true, "a")
	require.Eventually(t, func() bool { return p.host.Ready() }, 5*time.Second, 10*time.Millisecond)
	accepted := newJob(7)
	require.NoError(t, p.host.Jobs().Submit(t.Context(), dotterjob.Caller{}, accepted))
	require.True(t, p.awaitRefusing(func(string) dottervacancy.Vacancy { return overloadedVacancy() }, "a"))
	var overload *dotterentry.OverloadError
	require.ErrorAs(t, p.host.Jobs().Submit(t.Context(), dotterjob.Caller{}, newJob(8)), &overload)
	assert.NoError(t, p.host.Jobs().Submit(t.Context(), dotterjob.Caller{}, accepted))
	_, err := p.store.Get(t.Context(), dotterentry.HomeKey("0000000000000008"))
	assert.Error(t, err, "a refused job was stored")
}
