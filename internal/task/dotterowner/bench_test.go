package dotterowner

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterledger"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// fillLog writes a log with the given number of tasks, a quarter of them bound to
// a worker, and returns the log's options.
func fillLog(b *testing.B, p *fakePool, tasks int) dottershardlog.Options {
	options := dottershardlog.Options{Prefix: shardD.SegmentPrefix(), Writer: "fill/1"}
	log, ledger, err := dottershardlog.Open(context.Background(), p.store, options)
	require.NoError(b, err)
	write := func(records []dotterrecord.Record) {
		segment := log.BuildSegment(ledger, records, int64(tasks))
		require.NoError(b, log.Write(context.Background(), segment))
		log.Apply(ledger, segment)
	}
	var records []dotterrecord.Record
	for i := range tasks {
		records = append(records, dotterrecord.Record{Accepted: &dotterrecord.Entry{Task: benchTask(i)}})
		if i%4 == 0 {
			records = append(records, dotterrecord.Record{Reserved: &dotterrecord.Reserved{
				Task: shardD.Task(int64(i)), Attempt: 1, Worker: fmt.Sprintf("d-w%d", i%27), Incarnation: 1,
				Size: dotterroom.Room{MilliCores: 10, MemoryMB: 10},
			}})
		}
		if len(records) >= 100 {
			write(records)
			records = nil
		}
	}
	write(records)
	return options
}

func benchTask(i int) dottertask.Task {
	t := task(true, 60_000)
	t.ID = shardD.Task(int64(i))
	t.State = dottertask.StateQueued
	t.SubmittedAt = dotterclock.Millis(i)
	t.Payload = "survey-2026/region-05/households"
	return t
}

// BenchmarkReplay measures reading and applying logs of several sizes.
func BenchmarkReplay(b *testing.B) {
	for _, tasks := range []int{1250, 5000, 20000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			p := newPool(b, 0)
			options := fillLog(b, p, tasks)
			records := 0
			for b.Loop() {
				_, ledger, err := dottershardlog.Open(context.Background(), p.store, options)
				require.NoError(b, err)
				require.Equal(b, tasks, ledger.Len())
				records += tasks + tasks/4
			}
			b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkTakeover measures the time from claiming the log until every bound
// attempt is resolved by an inventory of its worker.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{1250, 5000, 20000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			p := newPool(b, 27)
			fillLog(b, p, tasks)
			virtual := dotterclock.Millis(0)
			for b.Loop() {
				started := p.clock.Now()
				o := p.open(p.benchOptions())
				p.advanceUntil(60*dotterclock.Second, func() bool { return allResolved(o) })
				virtual += p.clock.Now() - started
				o.tomb.Kill(ErrDeposed)
				<-o.Dead()
			}
			b.ReportMetric(float64(virtual)/float64(b.N), "clock-ms/op")
		})
	}
}

func (p *fakePool) benchOptions() Options {
	options := p.options("bench/1")
	options.Limits.RingSegments = 0
	p.set(func() { p.allowed.Allowed = false })
	return options
}

func allResolved(o *Owner) bool {
	uncertain := 0
	err := o.runOnLoop(context.Background(), func() {
		for _, a := range o.attempts {
			if a.phase == phaseUncertain {
				uncertain++
			}
		}
	})
	return err == nil && uncertain == 0
}

// BenchmarkMemory reports the heap size of a ledger per 10,000 tasks.
func BenchmarkMemory(b *testing.B) {
	for _, tasks := range []int{2500, 10000, 20000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				ledger := dotterledger.New(dotterledger.EndedLimit)
				for i := range tasks {
					ledger.Apply(int64(i/100), dotterrecord.Record{Accepted: &dotterrecord.Entry{Task: benchTask(i)}})
				}
				b.ReportMetric(float64(heapBytes()-before)*10000/float64(tasks), "B/10k-tasks")
				runtime.KeepAlive(ledger)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkStarts submits tasks to one shard at a fixed rate and reports store
// writes and bytes per start. One operation is one second of virtual time.
func BenchmarkStarts(b *testing.B) {
	for _, rate := range []int{4, 21, 85} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			p := newPool(b, 100)
			store := &countingStore{Store: p.store}
			options := p.options("bench/1")
			options.Limits.RingSegments = 0
			options.Store = store
			o := p.open(options)
			for b.Loop() {
				for range 4 {
					go func() { _, _ = o.Submit(context.Background(), repeat(max(rate/4, 1), task(true, 2000))) }()
					p.advanceBy(250)
				}
			}
			p.advanceBy(10 * dotterclock.Second)
			starts := float64(p.totalStarts())
			seconds := float64(b.N) + 10
			b.ReportMetric(starts/float64(b.N), "starts/s")
			b.ReportMetric(float64(store.writes.Load())/seconds, "writes/s")
			b.ReportMetric(float64(store.writes.Load())/starts, "writes/start")
			b.ReportMetric(float64(store.bytes.Load())/starts, "B/start")
			b.ReportMetric(float64(store.reads.Load())/starts, "reads/start")
			o.Stop()
		})
	}
}

// BenchmarkOutage compares the starts in one minute with those in one minute during
// which the store is unavailable, with more tasks queued than fit on the workers.
func BenchmarkOutage(b *testing.B) {
	for _, run := range []dotterclock.Millis{5_000, 20_000, 60_000} {
		b.Run(fmt.Sprintf("%ds", run/dotterclock.Second), func(b *testing.B) {
			before, during, bytes := 0, 0, int64(0)
			for b.Loop() {
				p := newPool(b, 9)
				store := &countingStore{Store: p.store}
				options := p.options("bench/1")
				options.Limits.RingSegments = 0
				options.Store = store
				o := p.open(options)
				for range 3 {
					p.submit(o, repeat(600, task(true, run))...)
				}
				p.advanceBy(dotterclock.Second * 70)
				first, bytesBefore := p.totalStarts(), store.bytes.Load()
				p.advanceBy(60 * dotterclock.Second)
				second := p.totalStarts()
				bytes += store.bytes.Load() - bytesBefore
				p.store.SetDown(true)
				p.advanceBy(60 * dotterclock.Second)
				during += p.totalStarts() - second
				before += second - first
				p.store.SetDown(false)
				o.Stop()
			}
			b.ReportMetric(float64(before)/float64(b.N), "starts-before")
			b.ReportMetric(float64(bytes)/float64(before), "B/start")
			b.ReportMetric(float64(during)/float64(b.N), "starts-in-outage")
		})
	}
}

// BenchmarkRenewal reports the size of a renewal and of its reply as JSON, and the
// resulting bytes per second for one worker with the default lease.
func BenchmarkRenewal(b *testing.B) {
	for _, attempts := range []int{1, 10, 26} {
		b.Run(fmt.Sprint(attempts), func(b *testing.B) {
			var renewal dotterattempt.Renewal
			var report dotterattempt.Report
			for b.Loop() {
				renewal = dotterattempt.Renewal{Shard: "valparaiso-2", Epoch: 7, Lease: DefaultLimits().LeaseDuration}
				report = dotterattempt.Report{Worker: "valparaiso-w21", Incarnation: 3, Clock: 1796338207676, Epoch: 7}
				for i := range attempts {
					ref := dotterattempt.Ref{Shard: "valparaiso-2", Task: dottertask.ID(fmt.Sprintf("valparaiso-2-%d", 100000+i)), Attempt: 1}
					renewal.Attempts = append(renewal.Attempts, ref)
					report.Attempts = append(report.Attempts, dotterattempt.Status{
						Ref: ref, Phase: dotterattempt.PhaseRunning, RanMillis: 123456, Size: dotterroom.Room{MilliCores: 2000, MemoryMB: 8000},
					})
				}
			}
			sent, err := json.Marshal(renewal)
			require.NoError(b, err)
			received, err := json.Marshal(report)
			require.NoError(b, err)
			perSecond := renewalsPerLease / DefaultLimits().LeaseDuration.Seconds()
			b.ReportMetric(float64(len(sent)), "B/renewal")
			b.ReportMetric(float64(len(received)), "B/report")
			b.ReportMetric(float64(len(sent)+len(received))*perSecond, "B/s")
		})
	}
}
