package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// finish is finish_s: so long after the end of the traffic every accepted job must have something running.
const finish = 14 * time.Second

func init() { scenarios["dropped"] = dropped }

// dropped: the operator removes a route while the body of a job for it is on its way. A node that accepts the job
// has to see that it runs.
func dropped() {
	w := newWorld(*dir, 6, 10000, 900, true)
	cleanups = append(cleanups, func() { w.end(2) })
	w.configure(1, queues)
	for i := range 3 {
		w.addNode(i+1, []string{"atyrau-a", "atyrau-b", "aktau-c"}[i]).start()
	}
	w.awaitReady()
	j := &Job{queue: queues[1], Steps: []Step{{Count: 4, Cpu: 2000, MemMb: 1000, EstimateMs: 500}}}
	j.id = newID()
	j.Spec = "spec of " + j.id
	body, err := json.Marshal(j)
	check(err)
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	n := w.nodes[0]
	c, err := net.Dial("tcp", n.front)
	check(err)
	fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", j.queue.Prefix, j.id, j.queue.Host, len(body))
	_, err = c.Write(body[:len(body)/2])
	check(err)
	w.note("client sends the header and half of the body of %s to %s", j.id, n.name)
	time.Sleep(200 * time.Millisecond)
	if *trouble {
		w.configure(4, []*queue{queues[0], queues[2]})
	}
	time.Sleep(500 * time.Millisecond)
	_, err = c.Write(body[len(body)/2:])
	check(err)
	w.note("client sends the rest")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	check(err)
	w.note("answer %d", a.StatusCode)
	if a.StatusCode != 200 {
		w.note("the job was not accepted: the rule holds")
		w.end(0)
	}
	accepted := time.Now()
	for time.Since(accepted) < finish+3*time.Second {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		doneTasks := 0
		for i := range 4 {
			if w.isDone(j, 0, 0, i) {
				doneTasks++
			}
		}
		w.mu.Unlock()
		if doneTasks == 4 {
			w.note("all 4 tasks have ended done %.1f s after the answer", time.Since(accepted).Seconds())
			w.end(0)
		}
	}
	w.note("BROKEN LOST: %s was accepted %.1f s ago; since then none of its 4 tasks has begun, and all 6 minions of its service are ready and empty", j.id, time.Since(accepted).Seconds())
	w.end(1)
}
