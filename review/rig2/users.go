package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"cedardoor/wire"
)

// request sends a request to a controller.
func (c *cluster) request(ctx context.Context, method, node, path string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.clients[node]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// userRequest sends a user's request to a controller, and records it with its answer.
func (c *cluster) userRequest(method, node, path string, body []byte, limit time.Duration) (status int, job wire.JobStatus) {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	status, answer, err := c.request(ctx, method, node, path, body)
	if err != nil {
		c.add("user   %s %s at %s: no answer (%v)", method, path, node, err)
		return 0, job
	}
	_ = wire.Unmarshal(answer, &job)
	c.add("user   %s %s at %s: %d %s done=%d running=%d", method, path, node, status, job.Status, job.Done, job.Running)
	return status, job
}

// encodeSpec encodes a submission. A field that has no value is null.
func encodeSpec(spec wire.Spec) ([]byte, error) {
	fields := map[string]any{"uid": spec.UID, "lane": spec.Class, "owner": spec.Team, "shape": spec.Kind, "rank": spec.Priority, "pieces": spec.Tasks,
		"cores": spec.Cores, "accelerators": spec.Accelerators, "ram_gb": spec.RAM, "bundle": spec.Image, "image_gb": spec.ImageGB, "builds": nil,
		"yard": nil, "same_place": spec.SameZone, "apart": spec.Spread, "loaned": spec.Preemptible, "expect_s": spec.ExpectedS,
		"bookmark_s": spec.CheckpointIntervalS, "stow_s": spec.CheckpointGraceS, "due_s": nil}
	if spec.MachineTypes != nil {
		fields["builds"] = spec.MachineTypes
	}
	if spec.Zone != "" {
		fields["yard"] = spec.Zone
	}
	if spec.DeadlineS != nil {
		fields["due_s"] = *spec.DeadlineS
	}
	return wire.Marshal(fields)
}

// submit submits a job, and repeats that as a user does.
func (c *cluster) submit(spec wire.Spec) error {
	body, err := encodeSpec(spec)
	if err != nil {
		return err
	}
	c.tracker.submitted(spec)
	for deadline, n := time.Now().Add(60*time.Second), 0; time.Now().Before(deadline); n++ {
		status, _ := c.userRequest(http.MethodPost, c.names[n%len(c.names)], wire.PathJobs, body, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("job %s refused: %d", spec.UID, status)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s not accepted", spec.UID)
}

// job returns a specification with common values.
func job(n int, mod func(spec *wire.Spec)) wire.Spec {
	spec := wire.Spec{UID: fmt.Sprintf("j-%06d", n), Class: "kibble-match", Team: "warehouse", Kind: wire.KindBatch, Priority: "standard", Tasks: 1,
		Cores: 8, RAM: 21, Image: "img-01", ImageGB: 0.8, ExpectedS: 20}
	mod(&spec)
	return spec
}
