// Command harness3 plays the scripted cases of the third review: it starts the project's programs as processes on
// loopback addresses, with stand-ins for workers, clients and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseRun is one run of a case.
type caseRun struct {
	*deployment
	trouble bool
}

// cases returns whether the rule was broken; an error means that the case could not run.
var cases = map[string]func(c *caseRun) (broken bool, err error){}

// maxCaseTime ends a case that hangs before the limit of the review.
const maxCaseTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := newDeployment(r)
	if err != nil {
		r.say("cannot run: %v", err)
		return exitFailed
	}
	defer d.close()
	c := &caseRun{deployment: d, trouble: os.Getenv("TROUBLE") != "0"}
	r.say("case %s, trouble %v", name, c.trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](c)
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.say("cannot run: %v", got.err)
			return exitFailed
		case got.broken:
			r.say("the rule was broken")
			return exitBroken
		}
		r.say("the rule held")
		return exitHeld
	case <-time.After(maxCaseTime):
		r.say("cannot run: the case takes too long")
		return exitFailed
	}
}
