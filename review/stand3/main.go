// Command stand3 plays the cases of the third review: it starts the scheduler's processes, and stands in for
// the platform's store, the minions, the clients and the operator. It records what was sent, answered and run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

var (
	scenario = flag.String("scenario", "", "what to play")
	dir      = flag.String("dir", "", "folder for the record, the settings and the logs")
	root     = flag.String("root", "", "root of the repository, in which the scheduler is built")
	trouble  = flag.Bool("trouble", true, "whether the disruption happens")
	seconds  = flag.Int("seconds", 40, "of a soak: how long clients send jobs")
	many     = flag.Int("minions", 9, "of a soak: number of minions")
	real     = flag.Int("real", 12, "of a soak with over 100 minions: how many of them have room")
	kinds    = flag.String("faults", "", "of a soak: kinds of faults, joined by commas; empty: all")
)

var scenarios = map[string]func(){"soak": soak}

func main() {
	flag.Parse()
	f, ok := scenarios[*scenario]
	if !ok {
		fmt.Println("no such scenario")
		os.Exit(2)
	}
	// Nothing may outlive the time that a case has.
	time.AfterFunc(115*time.Second, func() { fmt.Println("out of time"); cleanup() })
	f()
}
