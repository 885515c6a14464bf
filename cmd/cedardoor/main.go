// Command cedardoor runs one controller of a cedardoor cluster, or prints a report of the leader.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"cedardoor/operator"
)

// Exit codes of the daemon and the commands; docs/operations.md lists them.
const (
	exitSuccess  = 0
	exitFailure  = 1 // the daemon failed, or no controller responds
	exitUsage    = 2 // invalid arguments or settings
	exitStale    = 3 // the printed report is stale, because no leader responds
	exitNoReport = 4 // the controller has no report yet
)

// usageError means that the arguments or the settings are invalid.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

// version is set by the release build.
var version = "0.1.0"

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command line and returns the exit code.
func run(args []string) int {
	command := rootCommand()
	command.SetArgs(args)
	err := command.Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cedardoor:", strings.TrimSpace(err.Error()))
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errStale):
		return exitStale
	case errors.Is(err, operator.ErrNoReport):
		return exitNoReport
	case errors.As(err, &usage):
		return exitUsage
	default:
		return exitFailure
	}
}

// newLogger returns a logger that writes messages of the given level and above to standard error.
func newLogger(levelName string) (*slog.Logger, error) {
	var level slog.Level
	switch levelName {
	case "error":
		level = slog.LevelError
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", levelName)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
