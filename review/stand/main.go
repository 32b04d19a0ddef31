// Command stand plays one case of the review: it starts the daemons with the command of the
// deploy file, stands in for the store, the minions, the operator, the clients and the
// platform that starts processes, and judges what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is how long a case may take.
const limit = 116 * time.Second

// verdict is the result of a case: the ways in which the rule was broken, or an error if the
// case could not run.
type verdict struct {
	broken []string
	err    error
}

var cases = map[string]func(s *system, trouble bool) verdict{
	"times": playTimes, "record": playRecord, "cut": playCut, "cap": playCap,
}

// deployments are the sizes of the cases.
var deployments = map[string]deployment{
	"times": {daemons: 3, minions: 6}, "record": {daemons: 3, minions: 24}, "cut": {daemons: 3, minions: 18},
	"cap": {daemons: 3, minions: 606, shards: 3, tenants: []tenant{{Name: "north", ApiKeys: []string{"key-of-north"}, Weight: 5, Cap: map[string]int{"Cpu": 6000}}}},
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the record")
	root := flag.String("root", "", "repository root")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Println("no such case")
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	rec.say("script", "case %s, trouble %v", *name, trouble)
	s, err := newSystem(rec, *root, deployments[*name])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	done := make(chan verdict, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		if !s.awaitReady(25 * time.Second) {
			done <- verdict{err: fmt.Errorf("the daemons are not ready")}
			return
		}
		done <- play(s, trouble)
	}()
	var v verdict
	select {
	case v = <-done:
	case <-signals:
		v.err = fmt.Errorf("interrupted")
	case <-time.After(limit):
		v.err = fmt.Errorf("not finished in time")
	}
	s.close()
	code := exitHeld
	switch {
	case v.err != nil:
		rec.say("script", "could not run: %v", v.err)
		code = exitNotRun
	case len(v.broken) > 0:
		for i, b := range v.broken {
			if i == 8 {
				rec.say("judge", "and %d more", len(v.broken)-i)
				break
			}
			rec.say("judge", "%s", b)
		}
		code = exitBroken
	default:
		rec.say("judge", "the rule held")
	}
	s.dump()
	rec.close()
	os.Exit(code)
}

// maxDumped bounds the tasks of which dump writes each run.
const maxDumped = 100

// dump writes the runs of tasks that ran more than once or did not end well, of the first ones, and sums.
func (s *system) dump() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	runs := map[string][]start{}
	for _, st := range s.fleet.starts {
		runs[st.task] = append(runs[st.task], st)
	}
	hows := map[string]int{}
	ends := map[string][]*end{}
	for _, e := range s.fleet.ends {
		hows[e.how]++
		ends[e.task] = append(ends[e.task], e)
	}
	dumped := 0
	for task, all := range runs {
		odd := len(all) > 1
		for _, e := range ends[task] {
			odd = odd || e.how != "done"
		}
		if !odd || dumped == maxDumped {
			continue
		}
		dumped++
		for _, st := range all {
			s.rec.note("ran", "%s run %d started at %.3f on %s, Fence %d, Saved %q", task, st.run, float64(st.at)/1000, st.minion, st.fence, st.saved)
		}
		for _, e := range ends[task] {
			s.rec.note("ran", "%s run %d ended %s at %.3f, first listed at %.3f, acknowledged at %.3f (0: not)", e.task, e.run, e.how,
				float64(e.at)/1000, float64(e.listedAt)/1000, float64(e.ackedAt)/1000)
		}
	}
	s.rec.note("sums", "%d tasks, %d starts, ends %v", len(runs), len(s.fleet.starts), hows)
	for _, n := range s.nodes {
		s.rec.note("sums", "%s: at most %d MB, killed for its memory %d times", n.name, n.peakMb, n.kills)
	}
}
