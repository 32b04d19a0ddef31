// Command stage plays the cases 6 to 10 of the review: it starts the system's own processes on loopback
// addresses, with stand-ins for the platform's store, the minions and the clients.
//
// Usage: stage CASE ROOT FOLDER. ROOT is the repository, FOLDER the case's folder, which gets record.txt.
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// cases are the plays by name: shards, gang, grey and kind are those of the cases 6, 7, 8 and 10; edge and chaos look for
// broken rules, without disruptions and with random ones (SEED, KINDS, WIDE, NARROW).
var cases = map[string]func(w *world) error{
	"edge":   edge,
	"kind":   kind,
	"chaos":  chaos,
	"shards": shards,
	"grey":   greyGang,
	"gang":   wideGang,
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE ROOT FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	over := make(chan os.Signal, 1)
	signal.Notify(over, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-over:
		case <-time.After(limit):
		}
		w.rec.line("the case took too long, or was told to end")
		w.close()
		os.Exit(2)
	}()
	err = cases[os.Args[1]](w)
	w.close()
	if err != nil {
		w.rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.truth.mu.Lock()
	defer w.truth.mu.Unlock()
	if len(w.truth.broke) > 0 {
		w.rec.line("%d breaks", len(w.truth.broke))
		fmt.Println(strings.Join(w.truth.broke[:min(5, len(w.truth.broke))], "\n"))
		os.Exit(1)
	}
	w.rec.line("the rule held; %d starts", w.truth.count)
	fmt.Println("held,", w.truth.count, "starts")
}
