package operator

import (
	"fmt"
	"io"

	"cedardoor/recovery"
)

// PrintRecovery prints a report of the leader's recovery.
func PrintRecovery(w io.Writer, report recovery.Report, format Format) error {
	if format == FormatJSON {
		return printJSON(w, report)
	}
	table := newTable(w)
	printProgress(table, report)
	printUnrecorded(table, report.Unrecorded)
	printDamaged(table, report.Damaged)
	if report.Truncated {
		fmt.Fprintln(table, "\nThere is more than is listed.")
	}
	return table.Flush()
}

func printProgress(w io.Writer, r recovery.Report) {
	fmt.Fprintln(w, "LEADER\tSTAGE\tSINCE\tTOOK\tAT LATEST")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Leader, r.Stage, optionalSeconds(r.ElapsedS), optionalSeconds(r.DurationS), optionalSeconds(r.MaxRemainingS))
	fmt.Fprintln(w, "\nMACHINES\tRECORDED\tAWAITED\tRECONCILED\tGONE")
	machines := r.Machines
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\n", machines.Recorded, machines.Awaited, machines.Reconciled, machines.Gone)
	fmt.Fprintln(w, "\nATTEMPTS\tAWAITED\tIN DOUBT\tRUNNING\tSTOPPING\tUNREADABLE")
	attempts := r.Attempts
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\t%d\n", attempts.Awaited, attempts.InDoubt, attempts.Running, attempts.Stopping, attempts.Unreadable)
}

func printUnrecorded(w io.Writer, tasks []recovery.UnrecordedTask) {
	if len(tasks) == 0 {
		return
	}
	fmt.Fprintln(w, "\nUNRECORDED TASK\tATTEMPT\tMACHINE\tZONE\tFOLLOWS")
	for _, task := range tasks {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", task.Task, task.Attempt, task.Machine, task.Zone, task.Decision)
	}
}

func printDamaged(w io.Writer, damaged []recovery.Damage) {
	if len(damaged) == 0 {
		return
	}
	fmt.Fprintln(w, "\nDAMAGED RECORD\tKIND\tJOB\tWHAT FOLLOWS")
	for _, damage := range damaged {
		job := damage.Job
		if job == "" {
			job = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", damage.Key, damage.Kind, job, damage.Kind.Advice())
	}
}
