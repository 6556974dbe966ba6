// Command standin runs the scripted cases of the second review: stand-ins for the
// platform's store, engines, the operator and clients, and the project's own entry
// instances as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// A scenario runs one case. It returns whether the rule was broken; an error means that
// the case could not run.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"open-job-removed":   openJobRemoved,
	"end-not-delivered":  endNotDelivered,
	"host-removed":       hostRemoved,
	"other-weights":      otherWeights,
	"failure-as-promise": failureAsPromise,
	"public-batch-route": publicBatchRoute,
	"successor-lost":     successorLost,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, record string) int {
	run, ok := scenarios[name]
	rec, err := newRecorder(record)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "cannot run", name, err)
		return exitNotRun
	}
	f, err := newFleet(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	stop := func(reason string) {
		rec.printf("%s", reason)
		f.close()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(115*time.Second, func() { stop("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stop("interrupted")
	}()
	broken, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
