package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitFailed = 2 // the case couldn't run
)

// Run runs a case: its arguments are the program of the deploy file and the case's folder. play returns what
// broke the rule, nothing if it held. It is told whether the disruption happens. Run returns the exit code.
func Run(site Site, timeout time.Duration, play func(ctx context.Context, c *Cluster, trouble bool) (broken []string, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "arguments: the controllers' program and the case's folder")
		return exitFailed
	}
	log, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := playCase(log, site, timeout, play)
	code := exitHeld
	switch {
	case err != nil:
		log.Add("RESULT", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = exitFailed
	case len(broken) > 0:
		for _, what := range broken {
			log.Add("RESULT", "broken: %s", what)
			fmt.Println("broken:", what)
		}
		code = exitBroken
	default:
		log.Add("RESULT", "the rule held")
		fmt.Println("the rule held")
	}
	if err := log.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}

// playCase runs a case on a cluster of its own.
func playCase(log *Record, site Site, timeout time.Duration, play func(ctx context.Context, c *Cluster, trouble bool) ([]string, error)) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := NewCluster(ctx, log, os.Args[1], site)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	if err := c.AwaitLeader(15 * time.Second); err != nil {
		return nil, err
	}
	return play(ctx, c, os.Getenv("TROUBLE") != "0")
}
