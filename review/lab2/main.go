// Command lab2 runs the cases of the second review. Each case starts controllers as separate processes
// with the command of the deploy file, on loopback addresses, and plays the platform, the workers and the
// users around them. It writes what was sent, answered and run to a record, and ends with exit status 1
// if a rule was broken, 0 if all held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is how long a case may run; the lab then ends its processes and gives up.
const caseLimit = 117 * time.Second

// cases are the cases by name. A case reports broken rules to the lab; its error means that it could not run.
var cases = map[string]func(l *lab) error{
	"unknown-case": unknownCase,
	"repeated":     repeated,
	"small-tasks":  smallTasks,
	"barriers":     barriers,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "lab2: there is no case %q\n", name)
		return exitNotRun
	}
	l, err := newLab(root, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNotRun
	}
	ended := make(chan error, 1)
	go func() { ended <- play(l) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-ended:
	case <-time.After(caseLimit):
		err = fmt.Errorf("not over after %v", caseLimit)
	case s := <-interrupted:
		err = fmt.Errorf("interrupted: %v", s)
	}
	broken := l.close()
	switch {
	case len(broken) > 0:
		fmt.Printf("%s: broken: %s\n", name, broken[0])
		return exitBroken
	case err != nil:
		fmt.Printf("%s: not run: %v\n", name, err)
		return exitNotRun
	}
	fmt.Printf("%s: held\n", name)
	return exitHeld
}

// tempDir makes the folder for settings and logs of the controllers.
func tempDir() (string, error) {
	dir, err := os.MkdirTemp("", "review-lab2-")
	if err != nil {
		return "", err
	}
	return filepath.Abs(dir)
}
