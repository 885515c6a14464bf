package main

import (
	"context"
	"errors"
	"fmt"

	"cedardoor/operator"

	"github.com/spf13/cobra"
)

// errStale means that what was printed is not the leader's present view.
var errStale = errors.New("no leader answers")

// teamsCommand prints what teams use.
func teamsCommand() *cobra.Command {
	var address, output string
	command := &cobra.Command{
		Use:   "teams --address HOST:PORT",
		Short: "Print what teams use of their limits, and what of their work waits",
		Long: "Asks a controller at its operators' address (metrics.listen). Any controller will do: it asks the one that\n" +
			"leads, and shows what it saw last, with its age, where nobody does. Exit codes: 0 the leader's present view,\n" +
			"1 no controller answers, 2 wrong call, 3 an old view, 4 no view yet.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if address == "" {
				return setup(errors.New("--address HOST:PORT is required"))
			}
			if err := operator.CheckOutput(output); err != nil {
				return setup(err)
			}
			report, err := operator.Teams(context.Background(), address)
			if errors.Is(err, operator.ErrAddress) {
				return setup(err)
			}
			if err != nil {
				return err
			}
			if err := operator.PrintTeams(c.OutOrStdout(), report, output); err != nil {
				return fmt.Errorf("print: %w", err)
			}
			if !report.Fresh {
				return fmt.Errorf("%w: the view of %s is %.1f s old", errStale, report.Leader, report.AgeS)
			}
			return nil
		},
	}
	command.Flags().StringVar(&address, "address", "", "operators' address of any controller")
	command.Flags().StringVar(&output, "output", operator.OutputTable, "table or json")
	return command
}
