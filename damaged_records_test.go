package cedardoor

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cedardoor/internal/standin"
	"cedardoor/recovery"
	"cedardoor/store"
	"cedardoor/wire"
)

// A job whose record can't be decoded stays known, and its tasks go on. Other jobs are served.
func TestDamagedJobRecord(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	oldLeader, stop, worker, other := cluster.electWithWorkers(nodeA)
	cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = 2 }))
	cluster.syncAndSettle(oldLeader)
	cluster.writeRecord(nodeA, store.JobKey("j-1"), damagedRecord)
	stop()
	newLeader, _ := cluster.elect(nodeB)
	cluster.submit(nodeB, jobSpec("j-2", nil))
	cluster.resync(newLeader)
	for range 3 {
		heartbeat(t, newLeader, worker)
		heartbeat(t, newLeader, other)
		cluster.lookUpOrphans(newLeader)
		cluster.settle(newLeader)
		cluster.advance(15 * time.Second)
	}
	if got := worker.LiveTasks(); !slices.Equal(got, []string{"j-1/0", "j-1/1"}) {
		t.Errorf("on n-1: %v, want only the tasks of j-1", got)
	}
	if got := other.LiveTasks(); !slices.Equal(got, []string{"j-2/0"}) {
		t.Errorf("on n-2: %v, want only j-2/0", got)
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := jobPath("j-1")
		if method == http.MethodPost {
			path += "/" + wire.SuffixCancel
		}
		if code, _, header := cluster.ask(nodeB, method, path, nil); code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
			t.Errorf("%s of j-1: status %d, want 503 with Retry-After", method, code)
		}
	}
	if code, _, _ := cluster.ask(nodeB, http.MethodPost, wire.PathJobs, jobSpec("j-1", nil)); code != http.StatusServiceUnavailable {
		t.Errorf("repeated submission of j-1: status %d, want 503", code)
	}
	report := mustRecoveryReport(t, newLeader)
	if len(report.Damaged) != 1 || report.Damaged[0].Kind != recovery.DamageJob || report.Damaged[0].Job != "j-1" || len(report.Unrecorded) != 2 {
		t.Errorf("recovery report %+v, want j-1 damaged and its two tasks unrecorded", report)
	}
}

// A job's record is restored, or the job is submitted again, after a leader has skipped its attempts.
// That leader resigns, the next one reads the attempts, and no task is started twice.
func TestRestoredRecordIsReadWithAttempts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		tasks   int // if 1, the attempt is in a shared record
		missing bool
	}{{"unreadable", 2, false}, {"missing", 2, true}, {"unreadable, shared attempts", 1, false}, {"missing, shared attempts", 1, true}} {
		t.Run(tt.name, func(t *testing.T) {
			cluster := newTestCluster(t)
			nodeA, nodeB, nodeC := cluster.node(nil), cluster.node(nil), cluster.node(nil)
			oldLeader, stop, worker, other := cluster.electWithWorkers(nodeA)
			cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = tt.tasks }))
			cluster.submit(nodeA, jobSpec("j-2", nil)) // in the shared record, if j-1 is in one
			cluster.syncAndSettle(oldLeader)
			var original store.JobRecord
			cluster.state.Value(store.JobKey("j-1"), &original)
			if tt.missing {
				cluster.deleteRecord(nodeA, store.JobKey("j-1"))
			} else {
				cluster.writeRecord(nodeA, store.JobKey("j-1"), damagedRecord)
			}
			stop()
			newLeader, stopNodeB := cluster.elect(nodeB)
			heartbeat(t, newLeader, worker)
			worker.EndTask("j-2/0", wire.CauseDone) // so that its record is written again, without it
			for range 3 {
				heartbeat(t, newLeader, worker)
				heartbeat(t, newLeader, other)
				cluster.advance(3 * time.Second)
				cluster.settle(newLeader)
			}
			cluster.writeRecord(nodeB, store.JobKey("j-1"), original)
			cluster.resync(newLeader)
			cluster.awaitResignation()
			cluster.disconnect(nodeB)
			stopNodeB() // its elector's cooldown would keep advance from waiting for the next leader's renewals
			thirdLeader, _ := cluster.elect(nodeC)
			for range 8 {
				heartbeat(t, thirdLeader, other)
				heartbeat(t, thirdLeader, worker)
				cluster.advance(3 * time.Second)
				cluster.settle(thirdLeader)
			}
			if got := len(worker.StartedAttempts()) + len(other.StartedAttempts()); got != tt.tasks+1 {
				t.Errorf("%d starts, want only those before the damage: %v, %v", got, worker.StartedAttempts(), other.StartedAttempts())
			}
			if got := worker.LiveTasks(); len(got) != tt.tasks {
				t.Errorf("on n-1: %v, want all tasks of j-1", got)
			}
		})
	}
}

// If a record of attempts can't be decoded, running tasks go on as the same attempts. The others start
// only once every machine is reconciled, with attempt numbers that were never used.
func TestDamagedAttemptRecord(t *testing.T) {
	for _, shared := range []bool{false, true} {
		checkDamagedAttemptRecord(t, shared)
	}
}

// startedAttemptsOf lists the attempts of a task that have started on workers.
func startedAttemptsOf(workers []*standin.Worker, task string) (attempts []string) {
	for _, worker := range workers {
		for _, attempt := range worker.StartedAttempts() {
			if name, _, _ := strings.Cut(attempt, "#"); name == task {
				attempts = append(attempts, attempt)
			}
		}
	}
	return attempts
}

// submitDamagedRecordJobs submits the jobs whose attempts are in the record to be damaged, and a service.
// It returns the tasks of the former.
func submitDamagedRecordJobs(cluster *testCluster, node *Service, shared bool) (tasks []string) {
	jobs, tasks := []string{"j-1"}, []string{"j-1/0", "j-1/1", "j-1/2"}
	if shared {
		jobs, tasks = []string{"j-1", "j-2", "j-3"}, []string{"j-1/0", "j-2/0", "j-3/0"}
	}
	for _, uid := range jobs {
		cluster.submit(node, jobSpec(uid, func(spec *wire.Spec) { spec.Tasks = len(tasks) / len(jobs) }))
	}
	cluster.submit(node, jobSpec("j-7", func(spec *wire.Spec) { spec.Kind, spec.Tasks = wire.KindService, 1 }))
	return tasks
}

// checkDamagedAttemptRecord damages the attempt record of one job, or the shared record of three jobs, and
// lets the last task vanish.
func checkDamagedAttemptRecord(t *testing.T, shared bool) {
	t.Helper()
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, withTeamLimit(8))
	oldLeader, stop, worker, other := cluster.electWithWorkers(nodeA)
	tasks := submitDamagedRecordJobs(cluster, nodeA, shared)
	cluster.syncAndSettle(oldLeader)
	key := store.ChunkKey("j-1", 0)
	if shared {
		key = cluster.state.Keys(store.PrefixShared)[0]
	}
	cluster.writeRecord(nodeA, key, damagedRecord)
	stop()
	worker.EndTask(tasks[2], "lost") // vanishes without a result
	forgetEnded(worker, oldLeader.term.Token)
	newLeader, _ := cluster.elect(nodeB)
	if use := newLeader.quota.Usage("team").Total.Cores.Decimal(); use < 8 {
		t.Fatalf("shared %t: the team uses %v cores, want at least 8: tasks that may run must count", shared, use)
	}
	cluster.submit(nodeB, jobSpec("j-8", nil))
	cluster.resync(newLeader)
	reportAll := func() {
		heartbeat(t, newLeader, worker)
		heartbeat(t, newLeader, other)
		cluster.lookUpOrphans(newLeader)
		cluster.settle(newLeader)
	}
	reportAll()
	reportAll()
	if got := worker.LiveTasks(); !slices.Contains(got, tasks[0]) || !slices.Contains(got, tasks[1]) {
		t.Fatalf("shared %t: running tasks were stopped, on n-1 are %v", shared, got)
	}
	workers := []*standin.Worker{worker, other}
	if got := startedAttemptsOf(workers, tasks[2]); len(got) != 1 {
		t.Fatalf("shared %t: started before every machine was reconciled: %v", shared, got)
	}
	for range 4 {
		cluster.advance(8 * time.Second)
		reportAll()
	}
	starts := checkStartedOnce(t, workers)
	live := append(worker.LiveTasks(), other.LiveTasks()...)
	for _, task := range tasks {
		if !slices.Contains(live, task) {
			t.Errorf("shared %t: %s does not run: live tasks %v, starts %v", shared, task, live, starts)
		}
	}
	if attempts := startedAttemptsOf(workers, tasks[2]); len(attempts) != 2 || len(attempts[1]) < len("j-1/2#4294967296") {
		t.Errorf("shared %t: attempts of the lost task: %v, want a new one far above the first", shared, attempts)
	}
	if keys := cluster.state.Keys(key); shared && len(keys) != 0 {
		t.Errorf("the damaged record is still there: %v", keys)
	}
	// The next leader finds no damaged records.
	records, err := recovery.Read(t.Context(), nodeB.store)
	if err != nil || len(records.Damaged) != 0 {
		t.Errorf("shared %t: damaged records left: %+v, error %v", shared, records.Damaged, err)
	}
}

// A machine that has not reported the new leader's token may still receive an old command. While its
// lease may be valid, no task of an unreadable record starts, although the machine responds to probes.
func TestUnreconciledMachineDelaysUnreadableTasks(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	oldLeader, stop, worker, other := cluster.electWithWorkers(nodeA)
	cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = 3 }))
	cluster.syncAndSettle(oldLeader)
	cluster.writeRecord(nodeA, store.ChunkKey("j-1", 0), damagedRecord)
	worker.EndTask("j-1/2", "lost")
	forgetEnded(worker, oldLeader.term.Token)
	stop()
	newLeader, _ := cluster.elect(nodeB)
	for i := range 10 {
		cluster.advance(3 * time.Second)
		if i == 0 || i == 4 {
			reportWithoutResponse(newLeader, worker) // so that the token is never reported
		}
		cluster.reportAndSettle(newLeader, other)
	}
	if got := len(worker.StartedAttempts()) + len(other.StartedAttempts()); got != 3 {
		t.Fatalf("%d starts, want only those of the first leader", got)
	}
	if report := mustRecoveryReport(t, newLeader); report.Attempts.Unreadable != 1 {
		t.Errorf("the recovery report counts %d unreadable tasks, want the one that is not seen to run", report.Attempts.Unreadable)
	}
	for range 8 {
		cluster.advance(3 * time.Second)
		cluster.reportAndSettle(newLeader, worker, other)
	}
	if got := len(worker.StartedAttempts()) + len(other.StartedAttempts()); got != 4 {
		t.Errorf("%d starts, want 4 with that of the lost task", got)
	}
}

// A record that can't be decoded is not overwritten before all of its tasks are known. A leader that
// crashes before then leaves it unchanged to its successor.
func TestFailoverBeforeDamagedRecordIsRepaired(t *testing.T) {
	cluster := newTestCluster(t)
	nodeA, nodeB, nodeC := cluster.node(nil), cluster.node(nil), cluster.node(nil)
	oldLeader, stop := cluster.elect(nodeA)
	first, second, free := cluster.worker("n-1", "x", true), cluster.worker("n-2", "x", true), cluster.worker("n-3", "y", true)
	heartbeat(t, oldLeader, first)
	heartbeat(t, oldLeader, second)
	cluster.submit(nodeA, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks, spec.Cores = 2, 8 }))
	cluster.syncAndSettle(oldLeader)
	cluster.writeRecord(nodeA, store.ChunkKey("j-1", 0), damagedRecord)
	stop()
	newLeader, stop := cluster.elect(nodeB)
	heartbeat(t, newLeader, first) // second does not report to this leader
	first.EndTask(first.LiveTasks()[0], wire.CauseDone)
	heartbeat(t, newLeader, first)
	cluster.advance(5 * time.Second)
	cluster.reportAndSettle(newLeader, first)
	stop()
	thirdLeader, _ := cluster.elect(nodeC)
	heartbeat(t, thirdLeader, free) // reports to the new leader first, and has capacity
	cluster.settle(thirdLeader)
	if got := free.StartedAttempts(); len(got) != 0 {
		t.Fatalf("started %v while the task may run elsewhere", got)
	}
	for range 12 {
		cluster.advance(3 * time.Second)
		cluster.reportAndSettle(thirdLeader, first, second, free)
	}
	if got := second.LiveTasks(); len(got) != 1 {
		t.Errorf("on n-2: %v, want the task that ran all along", got)
	}
	if got := len(first.StartedAttempts()) + len(second.StartedAttempts()) + len(free.StartedAttempts()); got != 2 {
		t.Errorf("%d starts, want 2: one task is done and the other still runs", got)
	}
}

// A leader completes its recovery although the records of the catalog and the demand are damaged and one
// key names no job. It writes the catalog again.
func TestDamagedCatalogAndDemand(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	_, stop := cluster.elect(nodeA)
	cluster.writeRecord(nodeA, store.KeyCatalog, damagedRecord)
	cluster.writeRecord(nodeA, store.KeyDemand, damagedRecord)
	cluster.writeRecord(nodeA, "j/not a job", damagedRecord)
	stop()
	leader, _ := cluster.elect(nodeB)
	if report := mustRecoveryReport(t, leader); len(report.Damaged) != 3 || report.Stage != recovery.StageComplete {
		t.Errorf("recovery report %+v, want three damaged records and a complete recovery", report)
	}
	if err := leader.readCatalog(t.Context()); err != nil || leader.catalogRevision == 0 {
		t.Errorf("the catalog is not written again: %v", err)
	}
}

// Guards against accepted work that is dropped: a record that is damaged while a leader is about to change
// it does not keep the leader from recording the change. Jobs stay known, their tasks start and end, and
// operators see the damage.
func TestRecordDamagedBeforeChange(t *testing.T) {
	for _, tt := range []struct {
		name  string
		tasks int // if 1, the attempt is in a shared record
		key   func(cluster *testCluster) string
		kind  recovery.DamageKind
	}{
		{"job", 2, func(*testCluster) string { return store.JobKey("j-1") }, recovery.DamageJob},
		{"job with shared attempts", 1, func(*testCluster) string { return store.JobKey("j-1") }, recovery.DamageJob},
		{"attempts", 2, func(*testCluster) string { return store.ChunkKey("j-1", 0) }, recovery.DamageRebuilt},
		{"shared attempts", 1, func(cluster *testCluster) string { return cluster.state.Keys(store.PrefixShared)[0] }, recovery.DamageRebuilt},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cluster, node, leader, worker := clusterWithWorker(t)
			cluster.submit(node, jobSpec("j-1", func(spec *wire.Spec) { spec.Tasks = tt.tasks }))
			cluster.resync(leader)
			if tt.kind == recovery.DamageRebuilt { // these records exist once the tasks are placed
				cluster.settle(leader)
				heartbeat(t, leader, worker)
				worker.EndTask("j-1/0", "lost") // its restart changes the record
				heartbeat(t, leader, worker)
			}
			cluster.writeRecord(node, tt.key(cluster), damagedRecord)
			for range 3 {
				cluster.advance(3 * time.Second)
				cluster.settle(leader)
				heartbeat(t, leader, worker)
			}
			if got := worker.LiveTasks(); len(got) != tt.tasks {
				t.Fatalf("%v run, want %d tasks of j-1", got, tt.tasks)
			}
			if report := mustRecoveryReport(t, leader); len(report.Damaged) != 1 || report.Damaged[0].Kind != tt.kind || report.Damaged[0].Key != tt.key(cluster) {
				t.Errorf("damaged records %+v, want one of kind %s", report.Damaged, tt.kind)
			}
			for _, task := range worker.LiveTasks() {
				worker.EndTask(task, wire.CauseDone)
			}
			for range 3 {
				heartbeat(t, leader, worker)
				cluster.advance(3 * time.Second)
				cluster.settle(leader)
			}
			if _, status, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); status.Status != wire.JobDone {
				t.Errorf("%+v after its tasks ended, want done", status)
			}
		})
	}
}
