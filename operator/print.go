package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"cedardoor/quota"
)

// The forms in which a command prints.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// CheckOutput tells what is wrong with an output form, if anything.
func CheckOutput(form string) error {
	if form != FormatTable && form != FormatJSON {
		return fmt.Errorf("--output: %q is not %s or %s", form, FormatTable, FormatJSON)
	}
	return nil
}

// PrintTeams prints a report of the teams.
func PrintTeams(w io.Writer, report quota.Report, form string) error {
	if form == FormatJSON {
		return printJSON(w, report)
	}
	return printTeamsTable(w, report)
}

func printJSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func printTeamsTable(w io.Writer, report quota.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tRESOURCE\tIN USE\tRUNNING\tBOOKED\tIN DOUBT\tSTOPPING\tLIMIT\tGUARANTEE\tWAITING\tWHY")
	for _, team := range report.Teams {
		waiting, why := strconv.Itoa(team.Waiting.Tasks), reasons(team.Waiting)
		fmt.Fprintln(table, row(team.Team, "cores", team.Cores, waiting, why))
		if team.Accelerators != (quota.ResourceReport{}) {
			fmt.Fprintln(table, row(team.Team, "accelerators", team.Accelerators, waiting, why))
		}
	}
	return table.Flush()
}

func row(team, resource string, r quota.ResourceReport, waiting, why string) string {
	cells := []string{team, resource, decimal(r.InUse), decimal(r.Running), decimal(r.Booked), decimal(r.InDoubt),
		decimal(r.Stopping), optional(r.Limit), optional(r.Guarantee), waiting, why}
	return strings.Join(cells, "\t")
}

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// optional prints what a team may not have.
func optional(v float64) string {
	if v == 0 {
		return "none"
	}
	return decimal(v)
}

// reasons prints why tasks wait, in a fixed order.
func reasons(w quota.WaitingReport) string {
	if w.Tasks == 0 {
		return "-"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(w.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, w.Reasons[reason]))
	}
	return strings.Join(parts, ",")
}
