package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// aCase plays a case on a cluster and returns the broken rules that it is about.
type aCase struct {
	options func() options
	play    func(c *cluster) (broken []string, err error)
}

// cases are the cases by name; each file of a case adds its own.
var cases = map[string]aCase{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER (from the repository's root)")
		return exitNotRun
	}
	chosen, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	rec := &record{start: time.Now(), out: out}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case   %s, with the disruption: %t", os.Args[1], trouble)
	c, err := newCluster(ctx, rec, trouble, chosen.options())
	if c != nil {
		defer c.close()
	}
	var broken []string
	if err == nil {
		broken, err = chosen.play(c)
	}
	for _, violation := range broken {
		fmt.Println(violation)
	}
	switch {
	case len(broken) > 0:
		rec.add("result the rule was broken")
		return exitBroken
	case err != nil:
		rec.add("result could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	rec.add("result the rule held")
	fmt.Println("held")
	return exitHeld
}

// sleep waits for a while, or until the case is ended.
func (c *cluster) sleep(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// crashLeader kills the leading controller, which is back after restartDelay.
func (c *cluster) crashLeader() {
	if name := c.leader(); name != "" {
		c.crash(name)
	}
}
