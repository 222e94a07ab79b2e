// Command stage plays the cases of the second review. It starts the project's own
// programs as processes on loopback addresses, beside small stand-ins of the platform's
// store, the executors and the clients, and checks one rule of the platform's pages.
//
//	stage CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the exit status of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	unable verdict = 2
)

// cases holds the cases by name.
var cases = map[string]func(s *stage) verdict{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(int(unable))
	}
	s, err := newStage(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(unable))
	}
	os.Exit(int(s.play(cases[os.Args[1]])))
}
