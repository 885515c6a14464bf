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

// errStale means that the report that was printed is an old one.
var errStale = errors.New("no leader answers")

// reportHelp is the help of the commands that print a report.
const reportHelp = "Asks a controller at its operators' address (metrics.listen). Any controller will do: it asks the one that\n" +
	"leads, and shows what it saw last, with its age, where nobody does. Exit codes: 0 the leader's present view,\n" +
	"1 no controller answers, 2 wrong call, 3 an old view, 4 no view yet."

// reportSource tells where a report is from.
type reportSource struct {
	leader string
	fresh  bool // it was read from the leader for this response
	ageS   float64
}

// reportCommand is a command that prints a report of the leader.
type reportCommand[T any] struct {
	name, short string
	fetch       func(ctx context.Context, address string) (T, error)
	print       func(w io.Writer, report T, format operator.Format) error
	source      func(report T) reportSource
}

// teamsCommand prints the teams' quotas, usage and waiting work.
func teamsCommand() *cobra.Command {
	return reportCommand[quota.Report]{
		name: "teams", short: "Print what teams use of their limits, and what of their work waits",
		fetch: operator.FetchTeams, print: operator.PrintTeams,
		source: func(r quota.Report) reportSource { return reportSource{r.Leader, r.Fresh, r.AgeS} },
	}.command()
}

// recoveryCommand prints the state of the leader's recovery.
func recoveryCommand() *cobra.Command {
	return reportCommand[recovery.Report]{
		name: "recovery", short: "Print how far the leader has taken over: machines, attempts, damaged records",
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
	command.Flags().StringVar(&output, "output", string(operator.FormatTable), "table or json")
	return command
}

// run prints the report of the controller at an address.
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
		return fmt.Errorf("%w: the view of %s is %.1f s old", errStale, source.leader, source.ageS)
	}
	return nil
}
