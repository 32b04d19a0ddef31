package main

import (
	"time"
)

func init() { scenarios["gang"] = gangCrash }

// gangCrash: a minion crashes soon after a gang has begun there, and is back a second later. The gang has to run again.
func gangCrash() {
	w := newWorld(*dir, 12, 10000, 900, true)
	cleanups = append(cleanups, func() { w.end(2) })
	w.configure(1, queues)
	for i := range 3 {
		w.addNode(i+1, []string{"atyrau-a", "atyrau-b", "aktau-c"}[i]).start()
	}
	w.awaitReady()
	const members = 16
	j := &Job{queue: queues[0], Steps: []Step{{Count: members, Cpu: 3000, MemMb: 4000, EstimateMs: 2000, Gang: true}}}
	if !w.submit(j) {
		w.note("the job was not accepted")
		w.end(2)
	}
	if *trouble {
		m := w.awaitGang(j, members)
		time.Sleep(250 * time.Millisecond)
		w.note("%s crashes, and is back after 1 s", m.id)
		m.crashAndReturn(time.Second, "i-0000f001")
		w.note("its machine is back as %s", m.id)
	}
	begun := time.Now()
	for time.Since(begun) < finish+6*time.Second {
		time.Sleep(200 * time.Millisecond)
		w.mu.Lock()
		done := w.isDone(j, 0, 0, 0)
		w.mu.Unlock()
		if done {
			status, state := w.ask(j, w.nodes[0])
			w.note("the gang has ended done; the job is shown as %d %s", status, state)
			w.end(0)
		}
	}
	status, state := w.ask(j, w.nodes[0])
	w.note("the job is shown as %d %s", status, state)
	w.mu.Lock()
	ready, running := 0, 0
	for _, m := range w.minions {
		if m.up && !m.draining {
			ready++
		}
		running += len(m.runs)
	}
	w.mu.Unlock()
	if running > 0 {
		w.note("something runs: the rule holds")
		w.end(0)
	}
	w.note("BROKEN LOST: %s has had nothing running for %.1f s; %d minions are ready and empty", j.id, time.Since(begun).Seconds(), ready)
	w.end(1)
}

// awaitGang waits until all members of the gang have begun, and returns the minion with the most of them.
func (w *world) awaitGang(j *Job, members int) *minion {
	for range 500 {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		n, most := 0, w.minions[0]
		for _, m := range w.minions {
			n += len(m.runs)
			if len(m.runs) > len(most.runs) {
				most = m
			}
		}
		w.mu.Unlock()
		if n >= members {
			return most
		}
	}
	w.note("the gang has not begun")
	cleanup()
	return nil
}
