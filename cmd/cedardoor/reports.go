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

// errStale means that what was printed is not the leader's present view.
var errStale = errors.New("no leader answers")

// exitCodesOfReports is what commands that print a leader's report exit with.
const exitCodesOfReports = "Asks a controller at its operators' address (metrics.listen). Any controller will do: it asks the one that\n" +
	"leads, and shows what it saw last, with its age, where nobody does. Exit codes: 0 the leader's present view,\n" +
	"1 no controller answers, 2 wrong call, 3 an old view, 4 no view yet."

// reportCommand is a command that prints a report of the leader.
type reportCommand[T any] struct {
	name, short string
	fetch       func(ctx context.Context, address string) (T, error)
	print       func(w io.Writer, report T, form string) error
	// seen tells who led and how old the view is; fresh is false for one that is not the present one.
	seen func(report T) (leader string, fresh bool, ageS float64)
}

// teamsCommand prints what teams use.
func teamsCommand() *cobra.Command {
	return reportCommand[quota.Report]{
		name: "teams", short: "Print what teams use of their limits, and what of their work waits",
		fetch: operator.FetchTeams, print: operator.PrintTeams,
		seen: func(r quota.Report) (string, bool, float64) { return r.Leader, r.Fresh, r.AgeS },
	}.command()
}

// recoveryCommand prints how far the leader has taken over.
func recoveryCommand() *cobra.Command {
	return reportCommand[recovery.Report]{
		name: "recovery", short: "Print how far the leader has taken over: machines, attempts, damaged records",
		fetch: operator.FetchRecovery, print: operator.PrintRecovery,
		seen: func(r recovery.Report) (string, bool, float64) { return r.Leader, r.Fresh, r.AgeS },
	}.command()
}

func (c reportCommand[T]) command() *cobra.Command {
	var address, output string
	command := &cobra.Command{
		Use: c.name + " --address HOST:PORT", Short: c.short, Long: exitCodesOfReports, Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd.OutOrStdout(), address, output) },
	}
	command.Flags().StringVar(&address, "address", "", "operators' address of any controller")
	command.Flags().StringVar(&output, "output", operator.FormatTable, "table or json")
	return command
}

func (c reportCommand[T]) run(w io.Writer, address, output string) error {
	if address == "" {
		return setup(errors.New("--address HOST:PORT is required"))
	}
	if err := operator.CheckOutput(output); err != nil {
		return setup(err)
	}
	report, err := c.fetch(context.Background(), address)
	if errors.Is(err, operator.ErrInvalidAddress) {
		return setup(err)
	}
	if err != nil {
		return err
	}
	if err := c.print(w, report, output); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if leader, fresh, ageS := c.seen(report); !fresh {
		return fmt.Errorf("%w: the view of %s is %.1f s old", errStale, leader, ageS)
	}
	return nil
}
