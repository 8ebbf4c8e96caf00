//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarios are the cases by name.
var scenarios = map[string]func(rg *rig) verdict{}

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	// reason says what was seen.
	reason string
}

func main() {
	os.Exit(play())
}

func play() int {
	program := flag.String("program", "target/tackbeamd", "the program of a node")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	limit := flag.Duration("limit", 115*time.Second, "the longest time that the case may take")
	flag.Parse()
	scenario, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		return exitFailed
	}
	rg, err := newRig(*program, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	defer rg.close()
	outcome := make(chan verdict, 1)
	failure := make(chan any, 1)
	go func() {
		defer func() {
			if reason := recover(); reason != nil {
				failure <- reason
			}
		}()
		outcome <- scenario(rg)
	}()
	select {
	case vd := <-outcome:
		rg.rec.write("verdict", "broken=%t %s", vd.broken, vd.reason)
		fmt.Printf("broken=%t: %s\n", vd.broken, vd.reason)
		if vd.broken {
			return exitBroken
		}
		return exitHeld
	case reason := <-failure:
		fmt.Fprintln(os.Stderr, "the case could not run:", reason)
	case <-time.After(*limit):
		fmt.Fprintln(os.Stderr, "the case could not run: it took too long")
	}
	return exitFailed
}
