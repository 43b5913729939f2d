// Command standin plays the cases of the review: it starts nodes as separate
// processes with the command of the deploy file, plays their platform, backend
// servers and clients, and tells whether the rule of the case was broken.
//
//	target/review-standin CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRunTime ends a run that takes too long, below the 120 s that a script may take.
const maxRunTime = 117 * time.Second

// caseFunc plays a case and reports whether its rule was broken.
type caseFunc func(r *record, folder string, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"truncated":  playTruncated,
	"garbled":    playGarbled,
	"prefix":     playPrefix,
	"weights":    playWeights,
	"latereport": playLateReport,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return 2
	}
	folder := os.Args[2]
	if err := loadNames(filepath.Join(folder, "..", "names.json")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go stopEarly(r)
	broken, err := cases[os.Args[1]](r, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		r.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}

// stopEarly ends the processes that the case started, and this one, after a signal
// or when the run takes too long.
func stopEarly(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.printf("stopped by signal %v", s)
	case <-time.After(maxRunTime):
		r.printf("stopped after %v", maxRunTime)
	}
	killAll()
	os.Exit(2)
}
