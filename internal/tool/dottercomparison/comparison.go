package dottercomparison

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterexchange"
	"github.com/dotterelusher/dotterelusher/internal/entry/dottermeter"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
	"github.com/dotterelusher/dotterelusher/internal/tool/dottergenerator"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterreport"
)

const (
	domain          = "a"
	template        = "compared"
	maxOutstanding  = 50_000
	maxRetryPercent = 8 // limit on retries and hedges, in percent of the requests
)

// Options configures a comparison.
type Options struct {
	Millis dotterclock.Millis // duration of each run
	Seed   uint64
}

// Result is the measurement of one policy under one case.
type Result struct {
	Case        string
	Policy      string
	OfCapacity  float64 // requests done per second until the arrivals ended, in percent of Capacity
	P99Millis   float64 // of all requests; those that were not done count as slower than the others
	P99NotDone  bool    // 1% or more of the requests were not done: P99Millis is 0
	LongestWait int     // highest number of waiting requests
	Again       float64 // retries and hedges, in percent of the requests
	Report      dotterreport.Report
}

// Run runs every case with every policy and writes a table row for each result to w.
func Run(ctx context.Context, options Options, cases []Case, w io.Writer) ([]Result, error) {
	t := tabwriter.NewWriter(w, 14, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Case\tPolicy\tDone%OfCapacity\tNotRun\tUnknown\tP50OfDone\tP99OfDone\tP99OfAll\tLongestQueue\tAgain%\t")
	var results []Result
	for _, c := range cases {
		for _, p := range Policies() {
			r, err := runOne(ctx, options, c, p)
			if err != nil {
				return nil, err
			}
			results = append(results, r)
			writeRow(t, r)
			_ = t.Flush()
		}
	}
	return results, nil
}

func writeRow(w io.Writer, r Result) {
	done, _ := r.Report.Row(r.Policy, string(dotteroutcome.Done))
	notRun, _ := r.Report.Row(r.Policy, string(dotteroutcome.NotRun))
	unknown, _ := r.Report.Row(r.Policy, string(dotteroutcome.Unknown))
	ofAll := "not done"
	if !r.P99NotDone {
		ofAll = fmt.Sprintf("%.1f", r.P99Millis)
	}
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%d\t%.1f\t%.1f\t%s\t%d\t%.2f\t\n", r.Case, r.Policy, r.OfCapacity,
		notRun.Count, unknown.Count, done.P50Millis, done.P99Millis, ofAll, r.LongestWait, r.Again)
}

func runOne(ctx context.Context, options Options, c Case, p Policy) (Result, error) {
	b, err := newBench(options, c, p)
	if err != nil {
		return Result{}, err
	}
	defer b.services.Close()
	if c.Kill {
		third := (options.Millis / 3).Duration()
		time.AfterFunc(third, func() { b.pool.firstDead.Store(true) })
		time.AfterFunc(2*third, func() { b.pool.firstDead.Store(false) })
	}
	recorder := dotterreport.NewRecorder()
	generator := dottergenerator.New(dottergenerator.Bounds{
		Millis: options.Millis, Requests: unbounded, Outstanding: maxOutstanding, Seed: options.Seed,
	}, recorder)
	send := b.send
	if p.Choose != nil {
		send = newServerQueues(b, p.Choose).send
	}
	b.arrivalsEnd = b.clock.Now() + options.Millis
	err = generator.Run(ctx, dottergenerator.Stream{
		Kind: p.Name, PerSecond: float64(Capacity * c.Percent / 100), Send: send,
	})
	if err != nil {
		return Result{}, err
	}
	return b.result(c, p, options, recorder)
}

// bench runs the daemon's request path over a pool of simulated backend servers.
type bench struct {
	clock        *dotterclock.System
	pool         *pool
	services     *dotterservice.Services
	exchanger    *dotterexchange.Exchanger
	registry     *prometheus.Registry
	template     dotterconfig.Template
	arrivalsEnd  dotterclock.Millis // when the last request may arrive
	done         atomic.Int64       // requests done before arrivalsEnd
	longestQueue atomicMax
}

func newBench(options Options, c Case, p Policy) (*bench, error) {
	b := &bench{
		clock:    dotterclock.NewSystem(),
		pool:     newPool(options.Seed, c.Slow),
		registry: prometheus.NewRegistry(),
		template: dotterconfig.Template{Name: template, Kind: dotterconfig.KindService, Repeatable: true},
	}
	settings := dotterservice.Settings{QueueItems: queueItems, QueueWaitMillis: queueMillis}
	newRouter := p.NewRouter
	if p.Choose != nil {
		newRouter = Policies()[0].NewRouter // required, but requests of this policy bypass it
	}
	if p.Unbounded {
		settings = dotterservice.Settings{QueueItems: unbounded, QueueWaitMillis: unbounded}
	}
	configuration := dotterfake.NewConfiguration(dotterconfig.Document{
		Revision: 1, Templates: []dotterconfig.Template{b.template},
	})
	b.services = dotterservice.NewServices(dotterservice.Options{
		FailureDomain: domain,
		Configuration: configuration,
		Directory:     dotterfake.NewDirectory(hosts(domain, template)...),
		Permits:       dotterfake.NewPermits(Slots, Slots),
		Clock:         b.clock,
		Settings:      settings,
		NewRouter:     newRouter,
	})
	meter, err := dottermeter.New(b.registry, b.services.Waiting)
	if err != nil {
		return nil, err
	}
	b.exchanger = dotterexchange.New(dotterexchange.Options{
		Clock:    b.clock,
		Backend:  b.pool,
		Services: b.services,
		Forwarder: dotterexchange.NewForwarder(dotterexchange.ForwarderOptions{
			FailureDomain: domain, Clock: b.clock, Peers: dotterfake.NewPeers(), Configuration: configuration,
		}),
		Meter:        meter,
		Log:          zap.NewNop(),
		BufferBytes:  1 << 10,
		RetryPercent: maxRetryPercent,
	})
	return b, nil
}

// send implements dottergenerator.Sender.
func (b *bench) send(ctx context.Context, _ int) string {
	now := b.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, timeoutMillis.Duration())
	defer cancel()
	b.longestQueue.observe(b.services.Waiting())
	answer, refusal := b.exchanger.Do(ctx, dotterrequest.Request{
		Template: b.template, Method: http.MethodGet, Path: "/", Header: make(http.Header), Repeatable: true,
		Arrived: now, Deadline: now + timeoutMillis,
	})
	if refusal != nil {
		return string(refusal.Outcome)
	}
	answer.Close()
	b.countDone()
	return string(answer.Outcome)
}

// countDone counts a completed request if the arrivals have not ended yet.
func (b *bench) countDone() {
	if b.clock.Now() < b.arrivalsEnd {
		b.done.Add(1)
	}
}

func (b *bench) result(c Case, p Policy, options Options, recorder *dotterreport.Recorder) (Result, error) {
	report := recorder.Report()
	var all int64
	for _, row := range report.Rows {
		all += row.Count
	}
	resent, err := b.retriesAndHedges()
	if err != nil {
		return Result{}, err
	}
	p99, ok := recorder.QuantileMillis(p.Name, string(dotteroutcome.Done), 0.99)
	return Result{
		Case:        c.Name,
		Policy:      p.Name,
		OfCapacity:  100 * float64(b.done.Load()) / options.Millis.Seconds() / Capacity,
		P99Millis:   p99,
		P99NotDone:  !ok,
		LongestWait: b.longestQueue.value(),
		Again:       100 * resent / float64(max(1, all)),
		Report:      report,
	}, nil
}

// retriesAndHedges returns the number of retries and hedges.
func (b *bench) retriesAndHedges() (float64, error) {
	families, err := b.registry.Gather()
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, f := range families {
		switch f.GetName() {
		case dottermeter.NameRetries, dottermeter.NameHedges:
			sum += f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return sum, nil
}
