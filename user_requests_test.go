package cedardoor

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/store"
	"cedardoor/wire"
)

// Requests get the status codes that the protocol defines, also during an outage of the state service.
func TestResponsesToUsers(t *testing.T) {
	cluster := newTestCluster(t)
	node := cluster.node(func(facts *config.Facts) { facts.Teams = append(facts.Teams, config.Team{Name: "small", CPUsMax: 3}) })
	valid := jobSpec("j-1", nil)
	cluster.submit(node, valid)
	edit := func(mod func(m map[string]any)) []byte {
		return submissionBody(t, valid, func(m map[string]any) { m["uid"] = "j-2"; mod(m) })
	}
	tests := []struct {
		name string
		body []byte
		want int
	}{
		{"known job again", edit(func(m map[string]any) { m["uid"] = "j-1" }), 200},
		{"known job again, malformed", edit(func(m map[string]any) { m["uid"] = "j-1"; m["pieces"] = -4 }), 200},
		{"known job again, unknown team", edit(func(m map[string]any) { m["uid"] = "j-1"; m["owner"] = "nobody" }), 200},
		{"not MessagePack", []byte{0xc1, 0xff}, 400},
		{"not a map", []byte{0x93, 1, 2, 3}, 400},
		{"empty", nil, 400},
		{"missing field", edit(func(m map[string]any) { delete(m, "rank") }), 400},
		{"wrong type", edit(func(m map[string]any) { m["cores"] = "four" }), 400},
		{"negative", edit(func(m map[string]any) { m["ram_gb"] = -1.0 }), 400},
		{"no tasks", edit(func(m map[string]any) { m["pieces"] = 0 }), 400},
		{"fractional number of tasks", edit(func(m map[string]any) { m["pieces"] = 1.5 }), 400},
		{"unknown priority", edit(func(m map[string]any) { m["rank"] = "urgent" }), 400},
		{"too large", bytes.Repeat([]byte{0xc0}, wire.MaxBody+1), 400},
		{"unknown team", edit(func(m map[string]any) { m["owner"] = "nobody" }), 422},
		{"fits no machine type", edit(func(m map[string]any) { m["cores"] = 9.0 }), 422},
		{"machine type not in the catalog", edit(func(m map[string]any) { m["builds"] = []string{"zz"} }), 422},
		{"service over the limit", edit(func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", wire.KindService, 2
		}), 422},
		{"batch job over the limit only in total", edit(func(m map[string]any) { m["uid"], m["owner"], m["pieces"] = "j-3", "small", 9 }), 201},
		{"unknown field", edit(func(m map[string]any) { m["uid"], m["new"] = "j-4", []int{1} }), 201},
	}
	for _, tt := range tests {
		if got, _, _ := cluster.ask(node, http.MethodPost, wire.PathJobs, tt.body); got != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, got, tt.want)
		}
	}
	for path, want := range map[string]int{"/j-1": 200, "/j-999": 404, "/nonsense": 404} {
		if got, _, _ := cluster.ask(node, http.MethodGet, wire.PathJobs+path, nil); got != want {
			t.Errorf("GET %s: status %d, want %d", path, got, want)
		}
	}
	if got, _, _ := cluster.ask(node, http.MethodDelete, jobPath("j-1"), nil); got != 405 {
		t.Errorf("wrong method: status %d", got)
	}
	// While the state service can't be read, the response is 503 with Retry-After, never 404.
	cluster.state.Refuse("", true)
	for _, request := range []struct{ method, path string }{{"GET", "/j-999"}, {"GET", "/j-1"}, {"POST", "/j-1/abort"}} {
		got, _, header := cluster.ask(node, request.method, wire.PathJobs+request.path, nil)
		if got != 503 || header.Get("Retry-After") == "" {
			t.Errorf("%s %s during an outage: status %d, Retry-After %q", request.method, request.path, got, header.Get("Retry-After"))
		}
	}
	if got, _, _ := cluster.ask(node, http.MethodPost, wire.PathJobs, edit(func(m map[string]any) { m["uid"] = "j-9" })); got != 503 {
		t.Errorf("submission during an outage: status %d", got)
	}
}

// A controller that is the only one refused by the state service relays users' requests to another.
func TestRefusedControllerRelays(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	cluster.connect(nodeA, nodeB)
	cluster.elect(nodeB)
	cluster.submit(nodeA, jobSpec("j-1", nil))
	cluster.state.Refuse(nodeA.cfg.Node, true)
	for range 2 { // a single refusal is not enough to relay
		cluster.ask(nodeA, http.MethodGet, jobPath("j-1"), nil)
	}
	if code, status, _ := cluster.ask(nodeA, http.MethodGet, jobPath("j-1"), nil); code != 200 || status.UID != "j-1" {
		t.Errorf("query: %d %+v", code, status)
	}
	if code, _, _ := cluster.ask(nodeA, http.MethodPost, wire.PathJobs, jobSpec("j-2", nil)); code != 201 {
		t.Errorf("submission: %d", code)
	}
	if code, _, _ := cluster.ask(nodeA, http.MethodGet, jobPath("j-3"), nil); code != 404 {
		t.Errorf("unknown job: %d", code)
	}
	if code, status, _ := cluster.ask(nodeA, http.MethodPost, cancelPath("j-1"), nil); code != 200 || status.Status != wire.JobCancelled {
		t.Errorf("cancellation: %d %+v", code, status)
	}
	// During an outage no controller can serve users: the response is 503 at once.
	cluster.state.Refuse("", true)
	if code, _, header := cluster.ask(nodeA, http.MethodGet, jobPath("j-2"), nil); code != 503 || header.Get("Retry-After") == "" {
		t.Errorf("during an outage: %d %v", code, header)
	}
}

// Guards against an answer that tells users to wait although it is final: one that another controller
// gives after this one was refused has nothing of this one's refusal.
func TestRelayedAnswerHasNoRetryAfter(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	cluster.connect(nodeA, nodeB)
	cluster.elect(nodeB)
	cluster.submit(nodeA, jobSpec("j-1", nil))
	cluster.state.Refuse(nodeA.cfg.Node, true)
	relayed := 0
	for range 5 { // first refused, then relayed after a refusal, then relayed at once
		code, _, header := cluster.ask(nodeA, http.MethodGet, jobPath("j-1"), nil)
		if code != http.StatusOK {
			continue
		}
		relayed++
		if after := header.Get("Retry-After"); after != "" {
			t.Errorf("answer %d: status 200 with Retry-After %s", relayed, after)
		}
		if got := header.Get("Content-Type"); got != wire.ContentType {
			t.Errorf("answer %d: content type %q, want %q", relayed, got, wire.ContentType)
		}
	}
	if relayed < 2 {
		t.Errorf("%d answers were relayed, want at least 2", relayed)
	}
}

// A controller validates jobs against the current machine types. While the cloud does not respond, it
// uses its cached catalog for a limited time and then refuses submissions with 503.
func TestStaleCatalogIsNotUsed(t *testing.T) {
	cluster := newTestCluster(t)
	node := cluster.node(nil)
	cluster.submit(node, jobSpec("j-1", nil))
	cluster.cloud.Unavailable = true
	cluster.clock.Advance(100 * time.Second)
	cluster.submit(node, jobSpec("j-2", nil))
	cluster.clock.Advance(30 * time.Second)
	if code, _, header := cluster.ask(node, http.MethodPost, wire.PathJobs, jobSpec("j-3", nil)); code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("validated against a stale catalog: %d, Retry-After %q", code, header.Get("Retry-After"))
	}
	// A node that has just started has no catalog at all.
	if code, _, _ := cluster.ask(cluster.node(nil), http.MethodPost, wire.PathJobs, jobSpec("j-4", nil)); code != http.StatusServiceUnavailable {
		t.Errorf("validated without a catalog: %d", code)
	}
	cluster.cloud.Unavailable = false
	small := largeMachineType
	small.Cores = 1
	cluster.cloud.MachineTypes = []wire.MachineType{small}
	if code, _, _ := cluster.ask(node, http.MethodPost, wire.PathJobs, jobSpec("j-5", nil)); code != http.StatusUnprocessableEntity {
		t.Errorf("a job that fits no current machine type: %d", code)
	}
	if code, _, _ := cluster.ask(node, http.MethodPost, wire.PathJobs, jobSpec("j-1", nil)); code != http.StatusOK {
		t.Errorf("a known job: %d", code)
	}
}

// A controller never answers a poll from state that it read before the poll arrived: the response would
// contradict what another controller has reported since.
func TestPolledStatusNeverRegresses(t *testing.T) {
	cluster, nodeA, nodeB := clusterWithTwoNodes(t, nil)
	cluster.submit(nodeA, jobSpec("j-1", nil))
	for _, node := range []*Service{nodeA, nodeB} {
		if code, status, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); code != 200 || status.Status != wire.JobQueued {
			t.Fatalf("%d %+v", code, status)
		}
	}
	cluster.cancelJob(nodeA, "j-1")
	if _, status, _ := cluster.ask(nodeB, http.MethodGet, jobPath("j-1"), nil); status.Status != wire.JobCancelled {
		t.Errorf("the other node still reports %q", status.Status)
	}
	cluster.submit(nodeB, jobSpec("j-2", nil))
	cluster.state.Compact() // drops the change history, so that all records must be read again
	if code, status, _ := cluster.ask(nodeA, http.MethodGet, jobPath("j-2"), nil); code != 200 || status.Status != wire.JobQueued {
		t.Errorf("after the change history was compacted: %d %+v", code, status)
	}
}

// Users send requests to all controllers simultaneously, right after one of them has reported that a job
// is accepted, done or cancelled, also if the response to the transaction was lost or the transaction was
// delayed. No controller may report an older status. A repeated submission gets the job's status, even
// if it is malformed, and a delayed transaction changes nothing.
func TestAllControllersAgreeAfterResponse(t *testing.T) {
	for _, fault := range transactionFaults {
		t.Run(fault.name, func(t *testing.T) {
			cluster, nodes := clusterWithNodes(t, 3)
			leader, _ := cluster.elect(nodes[0])
			worker := cluster.worker("n-1", "x", true)
			heartbeat(t, leader, worker)
			// Every node has read the state before the submission and could wrongly answer from it.
			for _, node := range nodes {
				if code, _, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); code != http.StatusNotFound {
					t.Fatalf("before the submission: %d, want 404", code)
				}
			}
			for _, uid := range []string{"j-1", "j-2"} {
				fault.inject(cluster.state)
				if code, _ := cluster.askUntilServed(nodes[1:], http.MethodPost, wire.PathJobs, jobSpec(uid, nil)); code != http.StatusCreated && code != http.StatusOK {
					t.Fatalf("submission: %d", code)
				}
				cluster.checkResponses("accepted", cluster.askAllNodes(nodes, uid, false), wire.JobQueued, wire.JobRunning, "503")
			}
			cluster.syncAndSettle(leader)
			fault.inject(cluster.state)
			if _, status := cluster.askUntilServed(nodes[1:], http.MethodPost, cancelPath("j-2"), nil); status.Status != wire.JobCancelled {
				t.Fatalf("cancellation: %+v", status)
			}
			cluster.checkResponses("cancelled", cluster.askAllNodes(nodes, "j-2", true), wire.JobCancelled, "503")
			cluster.resync(leader)
			worker.EndTask("j-1/0", wire.CauseDone)
			cluster.reportAndSettle(leader, worker)
			if _, status := cluster.askUntilServed(nodes, http.MethodGet, jobPath("j-1"), nil); status.Status != wire.JobDone {
				t.Fatalf("after the task ended: %+v, want done", status)
			}
			cluster.checkResponses("done", cluster.askAllNodes(nodes, "j-1", true), wire.JobDone, "503")
			cluster.state.DeliverDelayed()
			cluster.state.RepeatTransactions()
			cluster.checkResponses("cancelled, after late transactions", cluster.askAllNodes(nodes, "j-2", true), wire.JobCancelled)
			cluster.checkResponses("done, after late transactions", cluster.askAllNodes(nodes, "j-1", true), wire.JobDone)
			for _, k := range cluster.state.Keys(store.PrefixJob) {
				if k == store.JobKey("j-2") {
					t.Error("the cancelled job is recorded as unfinished again")
				}
			}
		})
	}
}

// Submissions beyond the write rate of the state service are refused at once with Retry-After, those of
// the lowest priority first. Accepted jobs can still be cancelled.
func TestExcessSubmissionsAreRefusedAtOnce(t *testing.T) {
	cluster := newTestCluster(t)
	node := cluster.node(nil)
	_, _ = cluster.elect(node)
	limits := node.cfg.Facts.State
	limits.WriteRPS = 12
	node.users.Store = store.New(node.cfg.Outside.State, limits, 5)
	refused, accepted := 0, 0
	for k := range 40 {
		code, _, header := cluster.ask(node, http.MethodPost, wire.PathJobs, jobSpec(fmt.Sprintf("j-%d", k), func(spec *wire.Spec) { spec.Priority = "low" }))
		switch code {
		case http.StatusCreated:
			accepted++
		case http.StatusTooManyRequests:
			refused++
			if header.Get("Retry-After") == "" {
				t.Fatal("refused without Retry-After")
			}
		default:
			t.Fatalf("status %d", code)
		}
	}
	if accepted < 4 || refused < 20 {
		t.Errorf("%d accepted, %d refused, want at least 4 and 20", accepted, refused)
	}
	if code, _, _ := cluster.ask(node, http.MethodPost, wire.PathJobs, jobSpec("j-100", func(spec *wire.Spec) { spec.Priority = "critical" })); code != http.StatusCreated {
		t.Errorf("a critical job: %d, want 201", code)
	}
	if code, status, _ := cluster.ask(node, http.MethodPost, cancelPath("j-0"), nil); code != http.StatusOK || status.Status != wire.JobCancelled {
		t.Errorf("cancellation: %d %+v", code, status)
	}
}

// Polls of unknown jobs beyond the request rate of the state service are refused at once, while polls of
// known jobs are still answered.
func TestFloodOfUnknownJobs(t *testing.T) {
	cluster := newTestCluster(t)
	node := cluster.node(nil)
	_, _ = cluster.elect(node)
	cluster.submit(node, jobSpec("j-1", nil))
	if code, _, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); code != http.StatusOK {
		t.Fatalf("poll: %d", code)
	}
	limits := node.cfg.Facts.State
	limits.RPS = 20
	node.users.Store = store.New(node.cfg.Outside.State, limits, 5)
	codes := make(chan int)
	for k := range 100 {
		go func() {
			code, _, _ := cluster.ask(node, http.MethodGet, fmt.Sprintf("%s/j-9%d", wire.PathJobs, k), nil)
			codes <- code
		}()
	}
	got := map[int]int{}
	for range 100 {
		got[<-codes]++
	}
	if got[http.StatusNotFound] == 0 || got[http.StatusServiceUnavailable] < 60 || len(got) != 2 {
		t.Errorf("responses by status code: %v", got)
	}
	if code, status, _ := cluster.ask(node, http.MethodGet, jobPath("j-1"), nil); code != http.StatusOK || status.Status != wire.JobQueued {
		t.Errorf("a known job during the flood: %d %+v", code, status)
	}
}

// Submissions that share a transaction do not share its conflicts: the one for a known job gets that
// job's status, and all others are accepted.
func TestBatchedSubmissionsAreIndependent(t *testing.T) {
	cluster := newTestCluster(t)
	node := cluster.node(nil)
	_, _ = cluster.elect(node)
	cluster.submit(node, jobSpec("j-1", nil))
	release := cluster.state.Stall() // submissions that arrive meanwhile share the next transaction
	codes := make(chan int)
	const jobs = 12
	for k := range jobs {
		go func() {
			code, _, _ := cluster.ask(node, http.MethodPost, wire.PathJobs, jobSpec(fmt.Sprintf("j-%d", k), nil))
			codes <- code
		}()
	}
	release()
	got := map[int]int{}
	for range jobs {
		got[<-codes]++
	}
	if got[http.StatusCreated] != jobs-1 || got[http.StatusOK] != 1 {
		t.Errorf("responses by status code: %v, want %d accepted and one known", got, jobs-1)
	}
}

// A controller's CPU share limits how often polls make it read from the state service, however many
// arrive. A poll waits at most a quarter of a second for its read.
func TestPollRateFollowsCPUShare(t *testing.T) {
	for _, tt := range []struct {
		share float64
		reads int // per second, at most
	}{{0.01, 4}, {0.04, 4}, {0.1, 6}, {0.3, 22}, {0.5, 50}} {
		pause := minReadInterval(tt.share)
		if reads := int(clock.Second / pause); reads > tt.reads || pause > clock.Second/4 {
			t.Errorf("CPU share %v: %d reads per second, %v us apart; want at most %d, and at most a quarter of a second apart", tt.share, reads, pause, tt.reads)
		}
	}
	if minReadInterval(1) != 0 {
		t.Error("reads are limited with a whole core")
	}
}
