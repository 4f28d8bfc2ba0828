// Command harness plays the cases of the review with a script: stand-ins of the platform, workers and clients around real
// processes of the entry hosts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*platform) int{}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(exitCannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(playCase(play, os.Args[2]))
}

// playCase plays a case and ends all processes that it has started, also if the harness itself is told to end.
func playCase(play func(*platform) int, path string) int {
	r := newRecord(path)
	p, cleanUp := newPlatform(r)
	defer cleanUp()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if problem := recover(); problem != nil {
				r.say("the case could not run: %v", problem)
				result <- exitCannotRun
			}
		}()
		result <- play(p)
	}()
	select {
	case code := <-result:
		return code
	case <-signals:
		r.say("the case was broken off")
		return exitCannotRun
	}
}
