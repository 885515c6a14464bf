package cedardoor

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cedardoor/wire"
)

// request sends a user's request to a node and holds its answer against all that
// was told before it was sent.
func (w *simulation) request(node int, method, path, uid string, body []byte) (int, wire.JobStatus) {
	name := fmt.Sprintf("node-%d", node%3+1)
	w.mu.Lock()
	view := w.observed.views[uid]
	if view == nil {
		view = &jobView{}
		w.observed.views[uid] = view
	}
	if method == http.MethodPost {
		if strings.HasSuffix(path, wire.SuffixCancel) {
			view.cancelRequested = true
		} else {
			view.submitted = true
		}
	}
	before := *view
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	time.Sleep(w.latency("user", name))
	if w.network.IsCut("user", name) {
		return 0, wire.JobStatus{}
	}
	var status int
	var encoded []byte
	var err error
	if w.schedule.buffersMessages {
		// Half of the requests come over connections that are open already.
		var open *controllerProcess
		if w.latency(uid, name).Microseconds()%2 == 0 {
			open = w.runningProcess(name)
		}
		status, encoded, err = w.exchangeBuffered(ctx, open, "user", name, method, path, body)
	} else {
		status, encoded, err = w.serveRequest(ctx, name, method, path, body)
		time.Sleep(w.latency(name, "user"))
	}
	if w.network.IsCut(name, "user") {
		return 0, wire.JobStatus{}
	}
	if err != nil {
		return 0, wire.JobStatus{}
	}
	var v wire.JobStatus
	if status == http.StatusOK || status == http.StatusCreated {
		_ = wire.Unmarshal(encoded, &v)
	}
	w.logf("%s %s at %s: %d %s", method, path, name, status, v.Status)
	w.mu.Lock()
	all := w.observed.remainingTasks[uid] == 0
	submitted := view.submitted
	cancels := view.cancelRequested
	w.mu.Unlock()
	switch {
	case status == http.StatusNotFound && before.accepted:
		w.recordViolation("forgotten", "%s: 404 from %s", uid, name)
	case (status == 400 || status == 422) && before.accepted:
		w.recordViolation("forgotten", "%s: %d to a repeat at %s", uid, status, name)
	case status == http.StatusCreated && before.accepted:
		w.recordViolation("forgotten", "%s accepted again by %s", uid, name)
	case status == http.StatusOK && !submitted:
		w.recordViolation("invented", "%s: %+v from %s", uid, v, name)
	case status == http.StatusOK && v.Status == wire.JobDone && !all:
		w.recordViolation("not_done", "%s: done from %s, and tasks are left", uid, name)
	case status == http.StatusOK && v.Status == wire.JobCancelled && !cancels:
		w.recordViolation("went_back", "%s: cancelled from %s, and nobody asked for it", uid, name)
	case status == http.StatusOK && (before.done && v.Status != wire.JobDone || before.cancelled && v.Status != wire.JobCancelled):
		w.recordViolation("went_back", "%s: %s from %s after done %v, cancelled %v", uid, v.Status, name, before.done, before.cancelled)
	}
	if status == http.StatusOK || status == http.StatusCreated {
		w.mu.Lock()
		news := !view.accepted || !view.done && v.Status == wire.JobDone || !view.cancelled && v.Status == wire.JobCancelled
		if !view.accepted {
			view.lastProgress = time.Now()
		}
		view.accepted = true
		view.done = view.done || v.Status == wire.JobDone
		if !view.cancelled && v.Status == wire.JobCancelled {
			view.cancelled, view.cancelledAt = true, time.Now()
		}
		w.mu.Unlock()
		if news {
			for n := range 3 {
				for _, after := range []time.Duration{time.Millisecond, 40 * time.Millisecond} {
					w.wg.Go(func() {
						time.Sleep(after)
						w.request(n, http.MethodGet, wire.PathJobs+"/"+uid, uid, nil)
					})
				}
			}
		}
	}
	return status, v
}

// playUser plays one user.
func (w *simulation) playUser(submission scheduledSubmission) {
	uid := submission.spec.UID
	body := submissionBody(w.t, submission.spec, nil)
	path := wire.PathJobs + "/" + uid
	over := w.startedAt.Add(w.schedule.duration + faultFreeTail - 5*time.Second)
	for n := 0; ; n++ {
		status, _ := w.request(n+submission.firstController+int(w.schedule.seed), http.MethodPost, wire.PathJobs, uid, body)
		if status == http.StatusCreated || status == http.StatusOK {
			break
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || time.Now().After(over) {
			w.logf("%s given up: %d", uid, status)
			return
		}
		time.Sleep(time.Second)
	}
	if submission.cancelAfter > 0 || submission.cancelOnDone || submission.cancelOnFault != "" {
		w.wg.Go(func() {
			switch {
			case submission.cancelOnDone:
				select {
				case <-w.observed.allTasksDone[uid]:
				case <-w.ctx.Done():
					return
				}
			case submission.cancelOnFault != "":
				for time.Now().Before(over) {
					if _, ok := w.activeFault(submission.cancelOnFault); ok {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
			default:
				time.Sleep(submission.cancelAfter)
			}
			for n := 0; time.Now().Before(over); n++ {
				if status, _ := w.request(n, http.MethodPost, path+"/"+wire.SuffixCancel, uid, nil); status == http.StatusOK {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	for n := 0; time.Now().Before(over); n++ {
		time.Sleep(3 * time.Second)
		_, status := w.request(n+submission.firstController, http.MethodGet, path, uid, nil)
		if submission.stopsPolling {
			if status.Status == wire.JobDone || status.Status == wire.JobCancelled {
				return
			}
			continue
		}
		if submission.resubmits && n%4 == 1 {
			w.request(n+1, http.MethodPost, wire.PathJobs, uid, body)
			w.request(n+2, http.MethodPost, wire.PathJobs, uid, submissionBody(w.t, submission.spec, func(m map[string]any) { m["cores"] = -1 }))
		}
		w.request(n+2, http.MethodGet, wire.PathJobs+"/j-999", "j-999", nil)
	}
}
