// Command standin plays one case of the review: it starts the project's own programs as
// processes on loopback, acts as the platform, the executors and the clients around them,
// and judges one rule from what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseTimeout bounds a case. A case may take 120 seconds.
const caseTimeout = 100 * time.Second

// cases maps the name of a case to the function that plays it. The function returns the
// violations of the rule that it has seen.
var cases = map[string]func(context.Context, *fleet, bool) ([]string, error){
	"foreign-ping":      playForeignPing,
	"cancel-elsewhere":  playCancelElsewhere,
	"oversized-job":     playOversizedJob,
	"cut-and-reset":     playCutAndReset,
	"lost-answer":       playLostAnswerAndCrash,
	"one-way-cuts":      playOneWayCuts,
	"smaller-next-boot": playSmallerNextBoot,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitNotRun
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	violations, err := playCase(play, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case not run:", err)
		return exitNotRun
	}
	for _, v := range violations {
		fmt.Println("broken:", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func playCase(
	play func(context.Context, *fleet, bool) ([]string, error), program, recordPath string, trouble bool,
) (violations []string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP_LOGS") != "1" {
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	}
	f := newFleet(ctx, program, dir)
	defer func() { err = errors.Join(err, f.record.write(recordPath)) }()
	defer f.stop()
	f.record.add("trouble: %v", trouble)
	violations, err = play(ctx, f, trouble)
	for _, v := range violations {
		f.record.add("BROKEN %s", v)
	}
	if err != nil {
		f.record.add("not run: %v", err)
	}
	return violations, err
}
