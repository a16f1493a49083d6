// Command review-3 runs the cases of the third review. Each starts the project's own
// processes beside stand-ins, and tells whether a rule was broken.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// runLimit bounds a run of a case.
const runLimit = 115 * time.Second

// test is a case. It reports whether the rule was broken.
type test func(ctx context.Context, d *deployment, trouble bool) (bool, error)

var tests = map[string]test{
	"crash-loop":  crashLoop,
	"wide-jobs":   wideJobs,
	"advice":      advice,
	"full-record": fullRecord,
}

func main() { os.Exit(run()) }

func run() int {
	folder := flag.String("folder", ".", "folder of the record")
	flag.Parse()
	t, known := tests[flag.Arg(0)]
	if !known {
		fmt.Println("unknown case", flag.Arg(0))
		return cannotRun
	}
	j, err := newJournal(*folder)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer j.close()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelLimit := context.WithTimeout(ctx, runLimit)
	defer cancelLimit()
	d, err := newDeployment(ctx, j)
	if err != nil {
		j.note("cannot run: %v", err)
		return cannotRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	j.note("case %s, trouble %t", flag.Arg(0), trouble)
	isBroken, err := t(ctx, d, trouble)
	switch {
	case err != nil:
		j.note("cannot run: %v", err)
		return cannotRun
	case isBroken:
		j.note("result: the rule was broken")
		return broken
	default:
		j.note("result: the rule held")
		return held
	}
}
