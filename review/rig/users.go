package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	submitTimeout = 5 * time.Second // how long users wait for the answer to a submission or an abort
	pollTimeout   = 2 * time.Second // how long they wait for the answer to a question
)

// Users submit jobs, ask about them and cancel some, through any controller.
type Users struct {
	cluster *Cluster

	mu   sync.Mutex // guards the fields below
	jobs map[string]*UserJob
}

// UserJob is what a job's user was told.
type UserJob struct {
	Spec       wire.Spec
	AcceptedAt time.Time // zero before it was accepted
	Final      string    // done or cancelled, once told so
	FinalAt    time.Time
	LastStatus string
	AbortedAt  time.Time // when an abort was first sent; zero if never
	Asked      int       // questions since it was accepted
	Answered   int       // questions that got 200
	Violations []string
}

// Batch returns the specification of an array.
func Batch(uid, class, team, priority string, tasks int, cores, ram float64) wire.Spec {
	return wire.Spec{UID: uid, Class: class, Team: team, Kind: wire.KindBatch, Priority: priority, Tasks: tasks, Cores: cores, RAM: ram,
		Image: "img-" + class, ImageGB: 1, ExpectedS: 20, Preemptible: true}
}

// anyNode returns a controller, as the load balancer does.
func (u *Users) anyNode() string {
	names := u.cluster.names
	return names[rand.IntN(len(names))]
}

// Job returns a copy of what a job's user was told.
func (u *Users) Job(uid string) UserJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	if job := u.jobs[uid]; job != nil {
		return *job
	}
	return UserJob{}
}

// Submit submits a job whose tasks run for the given time, and repeats it until it is answered.
func (u *Users) Submit(ctx context.Context, spec wire.Spec, runTime time.Duration) {
	c := u.cluster
	c.mu.Lock()
	c.specs[spec.UID], c.runTimes[spec.UID] = spec, runTime
	c.mu.Unlock()
	u.mu.Lock()
	job := &UserJob{Spec: spec}
	u.jobs[spec.UID] = job
	u.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		status, _ := u.call(ctx, u.anyNode(), http.MethodPost, wire.PathJobs, submission(&spec), submitTimeout)
		if status == http.StatusOK || status == http.StatusCreated {
			u.mu.Lock()
			job.AcceptedAt = time.Now()
			u.mu.Unlock()
			c.Log.Add("user", "%s: %d tasks accepted (%d)", spec.UID, spec.Tasks, status)
			return
		}
		c.Log.Add("user", "%s: submission answered %d", spec.UID, status)
		sleep(ctx, time.Second)
	}
}

// submission returns the body of a submission.
func submission(spec *wire.Spec) map[string]any {
	raw, err := msgpack.Marshal(spec)
	if err != nil {
		panic(err)
	}
	var body map[string]any
	if err := msgpack.Unmarshal(raw, &body); err != nil {
		panic(err)
	}
	if spec.Zone == "" {
		body["yard"] = nil
	}
	return body
}

// call sends a request and decodes the answer. The status is 0 without an answer.
func (u *Users) call(ctx context.Context, node, method, path string, message any, timeout time.Duration) (status int, answer wire.JobStatus) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := u.cluster.Send(ctx, node, method, path, message)
	if err != nil {
		return 0, answer
	}
	_ = msgpack.Unmarshal(body, &answer)
	return status, answer
}

// Poll asks a controller about a job, and checks the answer against what users were told before.
func (u *Users) Poll(ctx context.Context, node, uid string) {
	u.mu.Lock()
	before := *u.jobs[uid]
	u.mu.Unlock()
	status, answer := u.call(ctx, node, http.MethodGet, wire.PathJobs+"/"+uid, nil, pollTimeout)
	if ctx.Err() != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	job := u.jobs[uid]
	if before.AcceptedAt.IsZero() {
		return
	}
	job.Asked++
	switch {
	case status == http.StatusNotFound:
		u.violate(job, "forgotten: %s answers 404", node)
	case status != http.StatusOK:
		return
	case before.Final != "" && answer.Status != before.Final:
		u.violate(job, "went_back: %s answers %s after %s", node, answer.Status, before.Final)
	case answer.Status == wire.JobCancelled && job.AbortedAt.IsZero():
		u.violate(job, "went_back: %s answers cancelled, and nobody cancelled it", node)
	}
	if status == http.StatusOK {
		job.Answered++
		u.note(job, answer.Status)
	}
}

// note records an answer. The caller holds mu.
func (u *Users) note(job *UserJob, status string) {
	if status != job.LastStatus {
		u.cluster.Log.Add("user", "%s: %s", job.Spec.UID, status)
	}
	job.LastStatus = status
	if (status == wire.JobDone || status == wire.JobCancelled) && job.Final == "" {
		job.Final, job.FinalAt = status, time.Now()
	}
}

// violate records a broken rule. The caller holds mu.
func (u *Users) violate(job *UserJob, format string, args ...any) {
	text := job.Spec.UID + ": " + fmt.Sprintf(format, args...)
	job.Violations = append(job.Violations, text)
	u.cluster.Log.Add("CHECK", "%s", text)
}

// Cancel cancels a job, and repeats that until it is answered.
func (u *Users) Cancel(ctx context.Context, uid string) {
	u.mu.Lock()
	job := u.jobs[uid]
	job.AbortedAt = time.Now()
	u.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, time.Second) {
		node := u.anyNode()
		status, answer := u.call(ctx, node, http.MethodPost, wire.PathJobs+"/"+uid+"/"+wire.SuffixCancel, struct{}{}, submitTimeout)
		u.cluster.Log.Add("user", "%s: abort through %s answered %d %s", uid, node, status, answer.Status)
		if status == http.StatusOK {
			u.mu.Lock()
			u.note(job, answer.Status)
			u.mu.Unlock()
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// All returns the ids of the submitted jobs.
func (u *Users) All() (uids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for uid := range u.jobs {
		uids = append(uids, uid)
	}
	return uids
}
