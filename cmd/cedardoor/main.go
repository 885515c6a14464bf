// Command cedardoor runs one controller of a cedardoor cluster.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"

	"cedardoor"
	"cedardoor/config"
	"cedardoor/operator"

	"github.com/spf13/cobra"
)

// Exit codes of the daemon and of the commands; docs/operations.md lists them.
const (
	exitFailure = 1 // the daemon failed, or no controller answers
	exitUsage   = 2 // called or set up wrongly
	exitStale   = 3 // the answer is an old one: no leader answers
	exitNoView  = 4 // the controller has nothing to show yet
)

// errSetup marks mistakes of the caller.
var errSetup = errors.New("")

// version is set by the release build.
var version = "0.1.0"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cmd := command()
	cmd.SetArgs(args)
	err := cmd.Execute()
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errStale):
		fmt.Fprintln(os.Stderr, "cedardoor:", err)
		return exitStale
	case errors.Is(err, operator.ErrNoReport):
		fmt.Fprintln(os.Stderr, "cedardoor:", err)
		return exitNoView
	case errors.Is(err, errSetup):
		fmt.Fprintln(os.Stderr, "cedardoor:", strings.TrimSpace(err.Error()))
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "cedardoor:", err)
	return exitFailure
}

func setup(err error) error { return fmt.Errorf("%w%w", errSetup, err) }

func command() *cobra.Command {
	var platform, operator string
	load := func() (*config.Platform, *config.Operator, error) {
		if platform == "" {
			return nil, nil, setup(errors.New("--config FILE is required"))
		}
		p, err := config.LoadPlatform(platform)
		if err != nil {
			return nil, nil, setup(err)
		}
		o, err := config.LoadOperator(operator)
		if err != nil {
			return nil, nil, setup(err)
		}
		if err := p.CheckCompatible(o); err != nil {
			return nil, nil, setup(fmt.Errorf("settings %s: %w", platform, err))
		}
		return p, o, nil
	}
	root := &cobra.Command{
		Use:           "cedardoor --config FILE [--settings FILE]",
		Short:         "Run one controller of a cedardoor cluster",
		Long:          "Runs one controller until it is killed. Logs go to standard error; LOG_LEVEL is error, info or debug.",
		Args:          noArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			p, o, err := load()
			if err != nil {
				return err
			}
			log, err := logger(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return setup(err)
			}
			// One core's share is all there is: more running threads only switch.
			runtime.GOMAXPROCS(max(1, int(p.Facts.Limits.CoreShare+0.999)))
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return cedardoor.New(p, o, log).Run(ctx)
		},
	}
	root.PersistentFlags().StringVar(&platform, "config", "", "the platform's settings file (JSON)")
	root.PersistentFlags().StringVar(&operator, "settings", "", "the operators' settings file (JSON, see docs/operations.md)")
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return setup(fmt.Errorf("%w; see %s --help", err, c.CommandPath()))
	})
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check settings files without starting anything", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, o, err := load()
			if err != nil {
				return err
			}
			for _, w := range p.Warnings(o) {
				fmt.Fprintln(c.OutOrStdout(), "tight:", w)
			}
			fmt.Fprintln(c.OutOrStdout(), "settings are valid")
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintln(c.OutOrStdout(), "cedardoor", version)
			return nil
		},
	})
	root.AddCommand(teamsCommand(), recoveryCommand())
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return setup(fmt.Errorf("unknown argument %q; see %s --help", args[0], c.CommandPath()))
	}
	return nil
}

// logger writes to standard error, as much as the level asks for.
func logger(level string) (*slog.Logger, error) {
	var l slog.Level
	switch level {
	case "error":
		l = slog.LevelError
	case "", "info":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
