//go:build review

package harness3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// clientTime is how long clients wait for an answer.
const clientTime = 3 * time.Second

// step and job are the body of a submission.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	Memory      int64 `json:"mem_mb"`
	EstimatedMS int64 `json:"estimated_ms"`
	LongRunning bool  `json:"long_running,omitempty"`
	// Affinity is the rack with the data.
	Affinity string `json:"affinity,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// wideJob returns a job whose tasks fill most of a worker.
func wideJob(duration time.Duration) job {
	return job{
		Spec:  fmt.Sprintf("work %d", duration.Milliseconds()),
		Steps: []step{{Count: 14, CPU: 4000, Memory: 2000, EstimatedMS: duration.Milliseconds()}},
	}
}

// taskOf returns a job with tasks of a duration.
func taskOf(count int, duration time.Duration) job {
	return job{
		Spec:  fmt.Sprintf("work %d", duration.Milliseconds()),
		Steps: []step{{Count: count, CPU: 1000, Memory: 500, EstimatedMS: duration.Milliseconds()}},
	}
}

var client = &http.Client{Timeout: clientTime, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// call sends a request to an instance. The status is 0 without an answer.
func call(address, method, path string, body any) (status int, answer string) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+address+path, content)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// submit submits a job at the instances in turn until one accepts it.
func (c *cell) submit(first int, id string, submitted job) bool {
	c.mu.Lock()
	c.cores[id] = submitted.Steps[0].CPU / 1000
	c.mu.Unlock()
	for attempt := range 4 {
		i := c.instances[(first+attempt)%len(c.instances)]
		status, answer := call(i.callers, http.MethodPost, "/a/"+id, submitted)
		c.record.line("client: POST /a/%s at %s: %d %s", id, i.name, status, answer)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// stateOf returns the state of a job, or an empty string if no instance tells it.
func (c *cell) stateOf(id string) string {
	for _, i := range c.instances {
		status, answer := call(i.callers, http.MethodGet, "/a/"+id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &body) == nil {
			return body.State
		}
	}
	return ""
}

// traffic submits small jobs until the context ends, and asks for their states.
func (c *cell) traffic(interval time.Duration) {
	for n := 0; c.ctx.Err() == nil; n++ {
		go func() {
			id := newID()
			if c.submit(n, id, taskOf(2, 400*time.Millisecond)) && c.ctx.Err() == nil {
				time.Sleep(time.Second)
				c.stateOf(id)
			}
		}()
		time.Sleep(interval)
	}
}
