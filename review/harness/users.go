package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"heronwick/wire"
)

var errNotAnswered = errors.New("not answered in time")

// answer is an answer to a user.
type answer struct {
	status int
	body   []byte
	job    wire.JobStatus
}

// ask sends one request of a user to a controller. The status is 0 without a response.
func (s *site) ask(c *controller, method, path string, body any, timeout time.Duration) answer {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	var a answer
	defer func() {
		s.rec.event("user: %s %s %s to %s: %d %s", method, path, text, c.name, a.status, bytes.TrimSpace(a.body))
	}()
	req, err := http.NewRequest(method, "http://"+c.bind+path, bytes.NewReader(text))
	if err != nil {
		return a
	}
	client := http.Client{Timeout: timeout}
	response, err := client.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.status, a.body = response.StatusCode, content
	_ = json.Unmarshal(content, &a.job)
	return a
}

// submit submits a job, at one healthy controller after the other, until it is accepted.
// run is how long each of its tasks runs; 0 means until it is stopped.
func (s *site) submit(j wire.Job, run time.Duration) error {
	s.mu.Lock()
	s.jobs[j.ID], s.runTimes[j.ID] = &j, run
	s.mu.Unlock()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); {
		for _, c := range s.controllers {
			a := s.ask(c, http.MethodPost, wire.PathJobs, submission(&j), 5*time.Second)
			if a.status == http.StatusCreated || a.status == http.StatusOK {
				return nil
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("submission of %s: %w", j.ID, errNotAnswered)
}

// submission returns the body of a submission, with all fields that the page lists.
func submission(j *wire.Job) map[string]any {
	body := map[string]any{
		"uid": j.ID, "flight": j.Class, "roost": j.Team, "gait": j.Kind, "rank": j.Priority, "feathers": j.Tasks,
		"cores": j.CPUs, "accelerators": j.GPUs, "ram_gb": j.MemoryGB, "plumage": j.Image, "pull_gb": j.ImageGB,
		"breeds": nil, "marsh": j.Zone, "same_place": j.OneZone, "spread": j.Spread, "drift": j.Spot,
		"flight_s": j.EstimateS, "molt_s": j.CheckpointS, "preen_s": j.SaveS, "dusk_s": j.DeadlineS,
	}
	if len(j.Types) > 0 {
		body["breeds"] = j.Types
	}
	if len(j.Dependencies) > 0 {
		body["follows"] = j.Dependencies
	}
	return body
}

// cancel cancels a job and repeats that until it is answered.
func (s *site) cancel(id string) error {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); {
		for _, c := range s.controllers {
			a := s.ask(c, http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.SuffixCancel, nil, 5*time.Second)
			if a.status == http.StatusOK {
				s.mu.Lock()
				if a.job.State == wire.JobCancelled && s.cancelled[id].IsZero() {
					s.cancelled[id] = time.Now()
				}
				s.mu.Unlock()
				return nil
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("cancellation of %s: %w", id, errNotAnswered)
}
