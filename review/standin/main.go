// Command standin runs a case of the review: it starts the project's programs as separate processes, with stand-ins for
// workers, clients and the platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(r *record, trouble bool) error{
	"slash":   slash,
	"smuggle": smuggle,
	"leaving": leaving,
	"extra":   extra,
}

// timeLimit ends a case that hangs. The processes that it started end with it.
const timeLimit = 110 * time.Second

func main() {
	time.AfterFunc(timeLimit, func() {
		fmt.Println("the case could not run: time limit")
		os.Exit(2)
	})
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err == nil {
		err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	if len(r.broken) > 0 {
		r.add("the rule was broken %d times", len(r.broken))
		fmt.Println("broken:", r.broken[0])
		os.Exit(1)
	}
	r.add("the rule held")
	fmt.Println("the rule held")
}
