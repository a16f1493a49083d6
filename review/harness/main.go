// Command harness runs a case of the review against a small deployment of real
// processes, with stand-ins of the platform's store, of minions and of clients.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 110 * time.Second

func main() {
	runtime.LockOSThread() // The processes end with the thread that started them.
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := &record{begin: time.Now(), file: file}
	folder := os.Getenv("REVIEW_LOGS")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	c := cases[os.Args[1]]
	d, err := newDeployment(rec, folder, c.kinds)
	defer d.stop()
	if err != nil {
		rec.add("case could not run", "error", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.AfterFunc(longest, d.giveUp)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	time.AfterFunc(0, func() { <-signals; d.giveUp() })
	broken, err := c.run(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("case could not run", "error", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken != "":
		rec.add("RULE BROKEN", "finding", broken)
		fmt.Println("rule broken:", broken)
		return 1
	}
	rec.add("rule held")
	fmt.Println("rule held")
	return 0
}

// giveUp ends a case that takes too long or is told to stop.
func (d *deployment) giveUp() {
	d.rec.add("case could not run", "error", "it was ended")
	d.stop()
	os.Exit(2)
}

type testCase struct {
	kinds [][]string // kinds are the labels of the minions.
	run   func(d *deployment, trouble bool) (broken string, err error)
}
