package sharder_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/platform"
	"egretring.example/egretring/specifier"
)

// logBuffer collects the log lines of all instances.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// logLine has the log fields that the instructions in docs/OPERATIONS.md use.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string
	Decision string
	Job      string
	Path     string
	Task     string
	Run      int
	Server   string
	Detail   string
	Kind     string
	Outcome  string
	Error    string
	// Figures and the times are those of lines about the owner's load.
	Figures       string
	Elapsed       string
	ProcessorTime string
	OldestEvent   string
}

// search returns the log lines that contain a text, like an operator's search for an ID.
func (b *logBuffer) search(t *testing.T, text string) []logLine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []logLine
	for _, line := range strings.Split(b.text.String(), "\n") {
		if line == "" || !strings.Contains(line, text) {
			continue
		}
		var decoded logLine
		require.NoError(t, json.Unmarshal([]byte(line), &decoded))
		found = append(found, decoded)
	}
	return found
}

func (c *cell) logger(instance int) *slog.Logger {
	return slog.New(slog.NewJSONHandler(&c.logs, nil)).With("Instance", fmt.Sprintf("instance-%d", instance))
}

// post submits a job with two tasks over HTTP.
func (c *cell) post(instance int, id string) int {
	body := `{"spec":"x","steps":[{"count":2,"cpu":1000,"estimated_ms":300}]}`
	request := httptest.NewRequest(http.MethodPost, "/q/"+id, strings.NewReader(body))
	request.Host = "h"
	recorder := httptest.NewRecorder()
	platform.NewIngress(c.instances[instance], c.logger(instance)).ServeHTTP(recorder, request)
	return recorder.Code
}

func decisions(lines []logLine, name string) []logLine {
	var found []logLine
	for _, line := range lines {
		if line.Decision == name {
			found = append(found, line)
		}
	}
	return found
}

const (
	unconfirmedID = "0000000000000099"
	refusedID     = "00000000000000aa"
	lateID        = "00000000000000bb"
	failedID      = "00000000000000cc"
	waitingID     = "00000000000000dd"
)

// TestRefusedRequestIsExplainedByLog guards against a refused request whose cause cannot be found from its ID by the
// instructions in docs/OPERATIONS.md.
func TestRefusedRequestIsExplainedByLog(t *testing.T) {
	runWithCell(t, 1, 12, func(t *testing.T, c *cell) {
		c.store.SetFaults(fakekeeper.Faults{Down: true})
		require.Equal(t, http.StatusBadGateway, c.post(0, unconfirmedID), "the store may still carry out the first write")
		require.Equal(t, http.StatusServiceUnavailable, c.post(0, refusedID))
		lines := c.logs.search(t, refusedID)
		require.Len(t, lines, 1)
		refusal := lines[0]
		require.Equal(t, "request refused", refusal.Message)
		require.Equal(t, "Overloaded", refusal.Kind)
		require.Equal(t, "NotRun", refusal.Outcome)
		unanswered := c.logs.search(t, "store gave no answer")
		require.NotEmpty(t, unanswered)
		require.Equal(t, refusal.Instance, unanswered[0].Instance)
		require.True(t, unanswered[0].Time.Before(refusal.Time))
		c.store.SetFaults(fakekeeper.Faults{})
		time.Sleep(time.Second)
	})
}

// TestLateJobIsExplainedByLog guards against a late job whose cause, backend servers that do not respond, cannot be found
// from its ID.
func TestLateJobIsExplainedByLog(t *testing.T) {
	runWithCell(t, 1, 2, func(t *testing.T, c *cell) {
		c.mu.Lock()
		for _, s := range c.servers {
			s.unresponsive = true
		}
		c.mu.Unlock()
		require.Equal(t, http.StatusOK, c.post(0, lateID))
		time.Sleep(2 * time.Second)
		c.mu.Lock()
		for _, s := range c.servers {
			s.unresponsive = false
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		lines := c.logs.search(t, lateID)
		at := slices.IndexFunc(lines, func(line logLine) bool { return line.Message == "job accepted" })
		require.GreaterOrEqual(t, at, 0)
		accepted := lines[at]
		require.Len(t, decisions(lines, "JobTaken"), 1)
		ends := decisions(lines, "RunEnded")
		require.Len(t, ends, 2)
		require.Greater(t, ends[1].Time.Sub(accepted.Time), 2*time.Second)
		causes := append(decisions(lines, "StartDoubtful"), decisions(lines, "StartRefused")...)
		if len(causes) > 0 {
			require.NotEmpty(t, decisions(c.logs.search(t, causes[0].Server), "ServerSilent"))
			return
		}
		// Nothing was placed while the servers did not respond, because the owner had already classified them all as silent.
		placed := decisions(lines, "RunPlaced")
		silent := decisions(c.logs.search(t, placed[0].Server), "ServerSilent")
		responses := decisions(c.logs.search(t, placed[0].Server), "ServerAnswers")
		require.NotEmpty(t, silent)
		require.NotEmpty(t, responses)
		require.False(t, placed[0].Time.Before(responses[len(responses)-1].Time))
	})
}

// TestFailedJobIsExplainedByLog guards against a failed job whose attempts and servers cannot be found from its ID.
func TestFailedJobIsExplainedByLog(t *testing.T) {
	runWithCell(t, 1, 12, func(t *testing.T, c *cell) {
		c.mu.Lock()
		for _, s := range c.servers {
			s.failing = true
		}
		c.mu.Unlock()
		require.Equal(t, http.StatusOK, c.post(0, failedID))
		time.Sleep(15 * time.Second)
		state, known, err := c.instances[0].State(t.Context(), specifier.Caller{}, failedID)
		require.NoError(t, err)
		require.True(t, known)
		require.Equal(t, specifier.Failed, state)
		attempts := map[string]int{}
		for _, end := range decisions(c.logs.search(t, failedID), "RunEnded") {
			if end.Detail == string(specifier.RunFailed) {
				attempts[end.Task]++
				require.NotEmpty(t, end.Server)
			}
		}
		require.Contains(t, attempts, failedID+".0.0.0")
		require.GreaterOrEqual(t, max(attempts[failedID+".0.0.0"], attempts[failedID+".0.0.1"]), 2, "max_attempts of the queue")
	})
}

// TestWaitingGangIsExplainedByLog guards against a gang that waits although other shards have room, or because its owner is
// slow, and whose log lines do not show which of the two it is.
func TestWaitingGangIsExplainedByLog(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		require.NoError(t, c.submitSteps(0, "/advised/", waitingID, fullServerGang(70)))
		time.Sleep(3 * time.Second)
		lines := c.logs.search(t, waitingID)
		advised := decisions(lines, "Advised")
		require.NotEmpty(t, advised)
		require.Regexp(t, `^\d+ of \d+ servers admitted by instance-\d after 50ms, queue advised$`, advised[0].Detail)
		waits := decisions(lines, "StepWaits")
		require.NotEmpty(t, waits)
		require.Regexp(t, `^after [\d.]+m?s, due for [\d.]+m?s: `, waits[0].Detail)
		require.Contains(t, waits[0].Detail, " FitElsewhereEmpty:150")
		loads := c.logs.search(t, "owner load")
		require.NotEmpty(t, loads)
		require.LessOrEqual(t, len(loads), 4, "one a second while the step waits")
		require.Contains(t, loads[0].Figures, " WaitingSteps:1 ")
		for _, load := range loads {
			require.NotEmpty(t, load.ProcessorTime)
			require.NotEmpty(t, load.OldestEvent)
			elapsed, err := time.ParseDuration(load.Elapsed)
			require.NoError(t, err)
			require.GreaterOrEqual(t, elapsed, time.Second)
		}
		time.Sleep(40 * time.Second)
		c.requireCompleted(waitingID)
	})
}
