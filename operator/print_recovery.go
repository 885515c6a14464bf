package operator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"cedardoor/recovery"
)

// PrintRecovery prints how far a leader has taken over.
func PrintRecovery(w io.Writer, report recovery.Report, form string) error {
	if form == FormatJSON {
		return printJSON(w, report)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printStage(table, report)
	printUnrecorded(table, report.Unrecorded)
	printDamaged(table, report.Damaged)
	if report.Truncated {
		fmt.Fprintln(table, "\nThere is more than is listed.")
	}
	return table.Flush()
}

func printStage(w io.Writer, r recovery.Report) {
	fmt.Fprintln(w, "LEADER\tSTAGE\tSINCE\tTOOK\tAT LATEST")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Leader, r.Stage, seconds(r.RunsS), seconds(r.TookS), seconds(r.AtLatestS))
	fmt.Fprintln(w, "\nMACHINES\tRECORDED\tAWAITED\tRECONCILED\tGONE")
	m := r.Machines
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\n", m.Recorded, m.Awaited, m.Reconciled, m.Gone)
	fmt.Fprintln(w, "\nATTEMPTS\tAWAITED\tIN DOUBT\tRUNNING\tSTOPPING\tUNREADABLE")
	a := r.Attempts
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\t%d\n", a.Awaited, a.InDoubt, a.Running, a.Stopping, a.Unreadable)
}

func printUnrecorded(w io.Writer, tasks []recovery.Unrecorded) {
	if len(tasks) == 0 {
		return
	}
	fmt.Fprintln(w, "\nUNRECORDED TASK\tATTEMPT\tMACHINE\tZONE\tFOLLOWS")
	for _, t := range tasks {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", t.Task, t.Attempt, t.Machine, t.Zone, t.Why)
	}
}

func printDamaged(w io.Writer, damaged []recovery.Damage) {
	if len(damaged) == 0 {
		return
	}
	fmt.Fprintln(w, "\nDAMAGED RECORD\tKIND\tJOB\tWHAT FOLLOWS")
	for _, d := range damaged {
		job := d.Job
		if job == "" {
			job = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Key, d.Kind, job, d.Kind.Advice())
	}
}

// seconds prints a span; a dash where there is none.
func seconds(s float64) string {
	if s == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", s)
}
