package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"cedardoor/quota"
)

// PrintTeams prints the teams' report in the given format.
func PrintTeams(w io.Writer, report quota.Report, format Format) error {
	if format == FormatJSON {
		return printJSON(w, report)
	}
	table := newTable(w)
	fmt.Fprintln(table, "TEAM\tRESOURCE\tIN USE\tRUNNING\tBOOKED\tIN DOUBT\tSTOPPING\tLIMIT\tGUARANTEE\tWAITING\tWHY")
	for _, team := range report.Teams {
		fmt.Fprintln(table, teamRow(&team, "cores", team.Cores))
		if team.Accelerators != (quota.ResourceReport{}) {
			fmt.Fprintln(table, teamRow(&team, "accelerators", team.Accelerators))
		}
	}
	return table.Flush()
}

// teamRow returns the table row for one resource of a team.
func teamRow(team *quota.TeamReport, resource string, r quota.ResourceReport) string {
	cells := []string{team.Team, resource, decimal(r.InUse), decimal(r.Running), decimal(r.Booked), decimal(r.InDoubt),
		decimal(r.Stopping), optionalDecimal(r.Limit), optionalDecimal(r.Guarantee), strconv.Itoa(team.Waiting.Tasks), waitingReasons(team.Waiting)}
	return strings.Join(cells, "\t")
}

// waitingReasons formats the number of waiting tasks per reason, sorted by reason.
func waitingReasons(waiting quota.WaitingReport) string {
	if waiting.Tasks == 0 {
		return "-"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(waiting.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, waiting.Reasons[reason]))
	}
	return strings.Join(parts, ",")
}
