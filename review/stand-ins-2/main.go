// Command stand-ins-2 plays a case of the second review: it starts the programs of
// the product as separate processes with stand-ins of the platform, and checks a rule
// by what clients and minions have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(d *deployment, trouble bool) error{
	"late-accept":   playLateAccept,
	"reservation":   playReservation,
	"advised-route": playAdvisedRoute,
	"budget":        playBudget,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-ins-2 CASE BINARY RECORD")
		return couldNot
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	d, err := newDeployment(os.Args[2], log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer d.end(os.Getenv("KEEP_LOGS"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var watch sync.WaitGroup
	watch.Go(func() {
		<-signals
		d.killAll()
		os.Exit(couldNot)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	log.write("case", "%s, disruption: %t", os.Args[1], trouble)
	err = cases[os.Args[1]](d, trouble)
	switch {
	case err == nil:
		log.write("case", "the rule held")
		fmt.Println("the rule held")
		return held
	case errors.Is(err, errBroken):
		log.write("case", "%v", err)
		fmt.Println(err)
		return broken
	default:
		log.write("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	}
}
