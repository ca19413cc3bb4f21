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
	// usageTimeout bounds a read of a usage report.
	usageTimeout = 2 * time.Second
	// usageReads bounds the reads at a time. A slow backend server occupies at most one of them.
	usageReads = 64
)

// polling is what the reads of usage reports share.
type polling struct {
	*sync.Mutex
	// reading are the backend servers whose report is being read.
	reading map[describer.BackendServerID]bool
	// forgotten are ended attempts that were stopped. A backend server lists them for a while after that.
	forgotten map[describer.BackendServerID]map[starter.Attempt]bool
}

func newPolling() polling {
	return polling{
		Mutex: &sync.Mutex{}, reading: make(map[describer.BackendServerID]bool),
		forgotten: make(map[describer.BackendServerID]map[starter.Attempt]bool),
	}
}

// begin reports whether a read may begin now.
func (p polling) begin(id describer.BackendServerID) bool {
	p.Lock()
	defer p.Unlock()
	if p.reading[id] || len(p.reading) >= usageReads {
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

func (p polling) forget(id describer.BackendServerID, attempt starter.Attempt) {
	p.Lock()
	defer p.Unlock()
	if p.forgotten[id] == nil {
		p.forgotten[id] = make(map[starter.Attempt]bool)
	}
	p.forgotten[id][attempt] = true
}

// filter leaves out the ended attempts that were stopped, and drops what is no longer listed.
func (p polling) filter(id describer.BackendServerID, tasks []starter.TaskReport) []starter.TaskReport {
	p.Lock()
	defer p.Unlock()
	listed := make(map[starter.Attempt]bool)
	kept := make([]starter.TaskReport, 0, len(tasks))
	for _, task := range tasks {
		attempt := starter.Attempt{Task: task.Task, Number: task.Attempt}
		if task.Outcome != "" && p.forgotten[id][attempt] {
			listed[attempt] = true
			continue
		}
		kept = append(kept, task)
	}
	p.forgotten[id] = listed
	return kept
}

// runUsage reads the usage reports of the zone's backend servers, spread over the interval.
func (t *term) runUsage(ctx context.Context) error {
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

func (t *term) readUsage(ctx context.Context, server describer.BackendServer) {
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
