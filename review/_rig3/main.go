// Command rig3 shows the cases of the third review: it starts the programs of the deploy
// file on loopback addresses beside stand-ins of the store, the executors and the clients.
//
//	rig3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run. TROUBLE=0 leaves the disruption out; KEEP_LOGS=1 keeps the
// logs of the processes in the temporary folder.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestCase ends a case that hangs, before the 120 s that a script may take.
const longestCase = 100 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases holds a scenario by its name. It gets the site, which has not been started, and
// whether there is a disruption.
var cases = map[string]func(s *site, trouble bool) error{
	"delayed-post":  delayedPost,
	"deaf-agents":   deafAgents,
	"drain-cancel":  drainCancel,
	"cancel-unread": cancelUnread,
	"cancel-moved":  cancelMoved,
	"drain-ignored": drainIgnored,
	"cancel-copied": cancelCopied,
	"sent-ahead":    sentAhead,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSite(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, disruption: %v", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](s, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-signals:
		err = fmt.Errorf("%w: the rig was told to stop", errNotRun)
	case <-time.After(longestCase):
		err = fmt.Errorf("%w: it took too long", errNotRun)
	}
	s.stop()
	switch {
	case r.count() > 0:
		r.write("result: broken, %d times", r.count())
		fmt.Println("broken:", r.violations[0])
		return exitBroken
	case err != nil:
		r.write("result: not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	r.write("result: held")
	fmt.Println("held")
	return exitHeld
}
