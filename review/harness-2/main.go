package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is what a case has seen: the violations of its rule, if any.
type verdict struct {
	violations []string
}

// cases are the cases by their names.
var cases = map[string]func(*world, bool) (verdict, error){}

// maxCaseTime is the time after which a case counts as one that could not run.
const maxCaseTime = 110 * time.Second

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		return exitFailed
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.write("case", "name", os.Args[1], "trouble", trouble)
	w := newWorld(log)
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- play(w, os.Args[1], trouble) }()
	select {
	case code := <-result:
		return code
	case <-interrupted:
		log.write("case-failed", "error", "it was interrupted")
		return exitFailed
	case <-time.After(maxCaseTime):
		log.write("case-failed", "error", "it took too long")
		return exitFailed
	}
}

func play(w *world, name string, trouble bool) int {
	v, err := cases[name](w, trouble)
	switch {
	case err != nil:
		w.log.write("case-failed", "error", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case len(v.violations) > 0:
		for _, text := range v.violations {
			w.log.write("rule-broken", "what", text)
			fmt.Println("rule broken:", text)
		}
		return exitBroken
	}
	w.log.write("rule-held")
	fmt.Println("the rule held")
	return exitHeld
}
