// Command standin-2 plays the scripts of the second review: it starts nodes as
// processes of their own, with stand-ins of the platform, the backend servers and the
// clients, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case on a fleet and reports whether the rule was broken. With
// trouble false it does the same without the disruption.
type scenario struct {
	nodes int
	play  func(f *fleet, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"replayed-call":    {nodes: 3, play: playReplayedCall},
	"leaked-memory":    {nodes: 6, play: playLeakedMemory},
	"slow-poison":      {nodes: 4, play: playSlowPoison},
	"cut-upload":       {nodes: 3, play: playCutUpload},
	"forgotten-poison": {nodes: 3, play: playForgottenPoison},
}

func main() {
	node := flag.String("node", "target/goldcrestd", "the program of a node")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *node, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, node, record string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", name)
		return exitNotRun
	}
	f, err := startFleet(s.nodes, node, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- playScenario(f, s, trouble) }()
	select {
	case code := <-done:
		return code
	case <-signals:
		return exitNotRun
	}
}

func playScenario(f *fleet, s scenario, trouble bool) int {
	f.note("trouble: %t", trouble)
	broken, err := s.play(f, trouble)
	err = errors.Join(err, f.checkNodes())
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		f.note("the rule was broken")
		return exitBroken
	}
	f.note("the rule held")
	return exitHeld
}
