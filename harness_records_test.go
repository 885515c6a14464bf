package cedardoor

import (
	"fmt"
	"testing"

	"cedardoor/internal/standin"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// damagedRecord is the value of a record that can't be decoded.
const damagedRecord = "torn"

// writeRecord puts a record into the state service, past all controllers.
func (s *testCluster) writeRecord(node *Service, key string, value any) {
	s.tb.Helper()
	if _, err := node.store.Commit(s.tb.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: key, Value: value}}}); err != nil {
		s.tb.Fatal(err)
	}
}

// deleteRecord deletes a record, past all controllers.
func (s *testCluster) deleteRecord(node *Service, key string) {
	s.tb.Helper()
	if _, err := node.store.Commit(s.tb.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Delete: key}}}); err != nil {
		s.tb.Fatal(err)
	}
}

// lookUpOrphans reads the jobs of tasks that workers show and that are not on the books.
func (s *testCluster) lookUpOrphans(leader *leader) {
	s.tb.Helper()
	for _, uid := range leader.takeWantedLookups() {
		if err := leader.lookUpJob(s.tb.Context(), uid); err != nil {
			s.tb.Fatal(err)
		}
	}
}

func mustRecoveryReport(t *testing.T, leader *leader) recovery.Report {
	t.Helper()
	report, known := leader.RecoveryReport()
	if !known {
		t.Fatal("the leader tells nothing of its recovery")
	}
	return report
}

// startTask lets a worker run a task as some earlier leader may have told it to.
func startTask(worker *standin.Worker, token uint64, task string, attempt uint64) {
	worker.HandleResponse(wire.HeartbeatResponse{Token: token, Commands: []wire.Command{{Verb: wire.VerbRun, Task: task, Attempt: attempt}}})
}

// forgetEnded lets a worker forget what has ended, as an earlier leader may have told it.
func forgetEnded(worker *standin.Worker, token uint64) {
	var orders []wire.Command
	report := worker.Report()
	for _, p := range report.Tasks {
		if p.Status == wire.TaskEnded {
			orders = append(orders, wire.Command{Verb: wire.VerbForget, Task: p.Task, Attempt: p.Attempt})
		}
	}
	worker.HandleResponse(wire.HeartbeatResponse{Token: token, Commands: orders})
}

// reportUnknownTasks is a report that names so many tasks of jobs that are on nobody's books.
func reportUnknownTasks(t *testing.T, leader *leader, worker *standin.Worker, jobs int) {
	t.Helper()
	report := worker.Report()
	for i := range jobs {
		report.Tasks = append(report.Tasks, wire.TaskReport{Task: fmt.Sprintf("j-%d/0", 100+i), Attempt: 1, Status: wire.TaskRunning})
	}
	if _, ok := leader.Heartbeat(&report); !ok {
		t.Fatal("not answered")
	}
}
