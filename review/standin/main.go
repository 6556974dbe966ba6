// Command standin plays one case of the review: it runs the project's entries as
// separate processes beside a stand-in of the platform's store, engines and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(f *fleet, trouble string){
	"late-enrolment":  lateEnrolment,
	"end-at-handover": endAtHandover,
	"moved-route":     movedRoute,
	"failing-item":    failingItem,
	"endless-answer":  endlessAnswer,
	"garbled-byte":    garbledByte,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(exitCannotRun)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	recordFile = record
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped from outside")
	}()
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	note("case %s, TROUBLE=%s", os.Args[1], trouble)
	cases[os.Args[1]](newFleet(os.Args[2]), trouble)
}
