package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"cedardoor"
	"cedardoor/config"

	"github.com/spf13/cobra"
)

// settingsFlags holds the flags that name the settings files.
type settingsFlags struct {
	platformPath string
	operatorPath string
}

// load loads and validates the settings.
func (f *settingsFlags) load() (*config.Platform, *config.Operator, error) {
	if f.platformPath == "" {
		return nil, nil, &usageError{errors.New("--config FILE is required")}
	}
	platform, err := config.LoadPlatform(f.platformPath)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	operator, err := config.LoadOperator(f.operatorPath)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	if err := platform.CheckCompatible(operator); err != nil {
		return nil, nil, &usageError{fmt.Errorf("settings %s: %w", f.platformPath, err)}
	}
	return platform, operator, nil
}

// rootCommand returns the root command with all subcommands.
func rootCommand() *cobra.Command {
	var flags settingsFlags
	root := &cobra.Command{
		Use:           "cedardoor --config FILE [--settings FILE]",
		Short:         "Run one controller of a cedardoor cluster",
		Long:          "Runs one controller until it is interrupted or terminated. Logs go to standard error; LOG_LEVEL is error, info or debug.",
		Args:          noArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(*cobra.Command, []string) error { return runController(&flags) },
	}
	root.PersistentFlags().StringVar(&flags.platformPath, "config", "", "the platform's settings file (JSON)")
	root.PersistentFlags().StringVar(&flags.operatorPath, "settings", "", "the operators' settings file (JSON, see docs/operations.md)")
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return &usageError{fmt.Errorf("%w; see %s --help", err, c.CommandPath())}
	})
	root.AddCommand(checkCommand(&flags), versionCommand(), teamsCommand(), recoveryCommand())
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

// runController runs a controller until the process is interrupted or terminated.
func runController(flags *settingsFlags) error {
	platform, operator, err := flags.load()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return &usageError{err}
	}
	// Threads beyond the process's share of the cores would only cost context switches.
	runtime.GOMAXPROCS(max(1, int(platform.Facts.Limits.CoreShare+0.999)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cedardoor.New(platform, operator, log).Run(ctx)
}

func checkCommand(flags *settingsFlags) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Validate the settings files without starting a controller", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			platform, operator, err := flags.load()
			if err != nil {
				return err
			}
			for _, warning := range platform.Warnings(operator) {
				fmt.Fprintln(c.OutOrStdout(), "tight:", warning)
			}
			fmt.Fprintln(c.OutOrStdout(), "settings are valid")
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintln(c.OutOrStdout(), "cedardoor", version)
			return nil
		},
	}
}

// noArgs is the cobra.PositionalArgs of commands that accept no arguments.
func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &usageError{fmt.Errorf("unknown argument %q; see %s --help", args[0], c.CommandPath())}
	}
	return nil
}
