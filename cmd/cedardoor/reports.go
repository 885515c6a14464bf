package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"cedardoor/operator"
	"cedardoor/quota"
	"cedardoor/recovery"

	"github.com/spf13/cobra"
)

// errStale means that the printed report is stale.
var errStale = errors.New("no leader answers")

// reportHelp is the help text shared by the commands that print a report.
const reportHelp = "Requests the report from a controller at its operators' address (metrics.listen). Any controller will do: it\n" +
	"reads the report from the leader or, if no leader answers, returns the last one that it read, with its age.\n" +
	"Exit codes: 0 current report, 1 no controller answers, 2 usage error, 3 stale report, 4 no report yet."

// reportSource describes the origin of a report.
type reportSource struct {
	leader string
	fresh  bool // whether it was read from the leader for this response
	ageS   float64
}

// reportCommand describes a command that prints a report of the leader.
type reportCommand[T any] struct {
	name, short string
	fetch       func(ctx context.Context, address string) (T, error)
	print       func(w io.Writer, report T, format operator.Format) error
	source      func(report T) reportSource
}

// teamsCommand returns the command that prints the teams' quotas, usage and waiting work.
func teamsCommand() *cobra.Command {
	return reportCommand[quota.Report]{
		name: "teams", short: "Print the teams' quotas, usage and waiting work",
		fetch: operator.FetchTeams, print: operator.PrintTeams,
		source: func(r quota.Report) reportSource { return reportSource{r.Leader, r.Fresh, r.AgeS} },
	}.command()
}

// recoveryCommand returns the command that prints the progress of the leader's recovery.
func recoveryCommand() *cobra.Command {
	return reportCommand[recovery.Report]{
		name: "recovery", short: "Print the progress of the leader's recovery: machines, attempts, damaged records",
		fetch: operator.FetchRecovery, print: operator.PrintRecovery,
		source: func(r recovery.Report) reportSource { return reportSource{r.Leader, r.Fresh, r.AgeS} },
	}.command()
}

func (c reportCommand[T]) command() *cobra.Command {
	var address, output string
	command := &cobra.Command{
		Use: c.name + " --address HOST:PORT", Short: c.short, Long: reportHelp, Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd.OutOrStdout(), address, output) },
	}
	command.Flags().StringVar(&address, "address", "", "operators' address of any controller")
	command.Flags().StringVar(&output, "output", string(operator.FormatTable), "output format: table or json")
	return command
}

// run fetches a report from the controller at an address and prints it.
func (c reportCommand[T]) run(w io.Writer, address, output string) error {
	if address == "" {
		return &usageError{errors.New("--address HOST:PORT is required")}
	}
	format, err := operator.ParseFormat(output)
	if err != nil {
		return &usageError{err}
	}
	report, err := c.fetch(context.Background(), address)
	if errors.Is(err, operator.ErrInvalidAddress) {
		return &usageError{err}
	}
	if err != nil {
		return err
	}
	if err := c.print(w, report, format); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if source := c.source(report); !source.fresh {
		return fmt.Errorf("%w: the report of %s is %.1f s old", errStale, source.leader, source.ageS)
	}
	return nil
}
