package scheduler

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/starter"
)

const (
	// usageInterval is the time between two usage reports of a backend server.
	usageInterval = time.Second
	// usageTimeout bounds one read of a usage report.
	usageTimeout = 2 * time.Second
	// maxUsageReads bounds the concurrent reads. A slow backend server occupies at most one of them.
	maxUsageReads = 64
)

// polling is the state that the concurrent reads of usage reports share.
type polling struct {
	*sync.Mutex
	// reading are the backend servers whose report is being read.
	reading map[describer.BackendServerID]bool
	// stoppedAttempts are attempts whose stop was confirmed. Usage reports may list them as ended for a while after
	// that.
	stoppedAttempts map[describer.BackendServerID]map[starter.Attempt]bool
}

func newPolling() polling {
	return polling{
		Mutex: &sync.Mutex{}, reading: make(map[describer.BackendServerID]bool),
		stoppedAttempts: make(map[describer.BackendServerID]map[starter.Attempt]bool),
	}
}

// begin reports whether a read may begin now, and if so marks the backend server as being read.
func (p polling) begin(id describer.BackendServerID) bool {
	p.Lock()
	defer p.Unlock()
	if p.reading[id] || len(p.reading) >= maxUsageReads {
		return false
	}
	p.reading[id] = true
	return true
}

func (p polling) end(id describer.BackendServerID) {
	p.Lock()
	defer p.Unlock()
	delete(p.reading, id)
}

// markStopped records that the stop of an attempt was confirmed.
func (p polling) markStopped(id describer.BackendServerID, attempt starter.Attempt) {
	p.Lock()
	defer p.Unlock()
	if p.stoppedAttempts[id] == nil {
		p.stoppedAttempts[id] = make(map[starter.Attempt]bool)
	}
	p.stoppedAttempts[id][attempt] = true
}

// filter leaves out ended attempts whose stop was confirmed, and forgets those that the report no longer lists as
// ended.
func (p polling) filter(id describer.BackendServerID, tasks []starter.TaskReport) []starter.TaskReport {
	p.Lock()
	defer p.Unlock()
	listed := make(map[starter.Attempt]bool)
	kept := make([]starter.TaskReport, 0, len(tasks))
	for _, task := range tasks {
		attempt := starter.Attempt{Task: task.Task, Number: task.Attempt}
		if task.Outcome != "" && p.stoppedAttempts[id][attempt] {
			listed[attempt] = true
			continue
		}
		kept = append(kept, task)
	}
	p.stoppedAttempts[id] = listed
	return kept
}

// runUsage reads the usage reports of the zone's backend servers, spread over the interval.
func (t *placingTerm) runUsage(ctx context.Context) error {
	const rounds = int(usageInterval / termTick)
	ticker := time.NewTicker(termTick)
	defer ticker.Stop()
	for round := 0; ; round++ {
		servers, _ := t.zoneServers()
		for i, server := range servers {
			if i%rounds == round%rounds && server.State != describer.Gone && t.polling.begin(server.ID) {
				t.tomb.Go(func() error { t.readUsage(ctx, server); return nil })
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *placingTerm) readUsage(ctx context.Context, server describer.BackendServer) {
	defer t.polling.end(server.ID)
	if !time.Now().Before(t.right(time.Now()).RenewUntil) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	report, err := t.Connect(server).Usage(limited)
	if err != nil {
		return
	}
	t.post(starter.ServerReported{
		Server: server.ID, SampledAt: report.SampledAt, Tasks: t.polling.filter(server.ID, taskReports(report.Tasks)),
	})
}

func taskReports(tasks []forwarder.TaskReport) []starter.TaskReport {
	reports := make([]starter.TaskReport, len(tasks))
	for i, task := range tasks {
		reports[i] = starter.TaskReport{
			Task: task.Task, Attempt: task.Attempt, Used: task.Used,
			Outcome: outcomeOf(task.State), Reason: "backend server reported " + string(task.State),
		}
	}
	return reports
}

func outcomeOf(state forwarder.TaskState) committer.Outcome {
	switch state {
	case forwarder.TaskEnded:
		return committer.Succeeded
	case forwarder.TaskFailed:
		return committer.Failed
	case forwarder.TaskStopped:
		return committer.Stopped
	case forwarder.TaskExpired:
		return committer.Lost
	}
	return ""
}
