// Lab runs the cases of the review: each starts controllers as processes of their own, with
// stand-ins for users, workers, the cloud and the state service, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// longest is the time after which a case that has not ended counts as not run. The controllers are
// killed with this process.
const longest = 116 * time.Second

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases by name. Each returns the broken rules, or an error if it could not run. trouble is
// false for the run without the disruption.
var cases = map[string]func(rec *record, trouble bool) ([]string, error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to run")
	path := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "lab: no such case")
		return notRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	time.AfterFunc(longest, func() {
		rec.add("not run: it took too long")
		os.Exit(notRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", *name, trouble)
	broken, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case len(broken) > 0:
		for _, rule := range broken {
			rec.add("result: %s", rule)
			fmt.Println("broken:", rule)
		}
		return ruleBroken
	}
	rec.add("result: the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
