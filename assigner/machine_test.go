package assigner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

// recoverySteps bounds the steps from the last fault until all slots are usable. It covers the expiry of a lease (9 s),
// the takeover margin, a second takeover by a restarted instance, and usage reports of five servers.
const recoverySteps = 120

// leaveSteps bounds the steps from the last fault until a member that had received a leave request by then has left.
const leaveSteps = 80

// machine runs a cell with generated faults and checks its invariants.
type machine struct {
	*cell
	instances int
	epoch     describer.Epoch
}

func (m *machine) checkInvariants(t require.TestingT) {
	for server := range modelServers {
		inUse, _ := m.usable(server)
		require.LessOrEqual(t, inUse, modelSlots, "slots of server %d at %s", server, m.now)
	}
	require.GreaterOrEqual(t, m.record.Epoch, m.epoch, "epoch of the record")
	m.epoch = m.record.Epoch
	for _, p := range m.processes {
		adopted := p.assigner.Adopted().Epoch
		if adopted != 0 {
			require.GreaterOrEqual(t, adopted, p.epoch, "adopted epoch")
			p.epoch = adopted
		}
	}
}

func (m *machine) steps(t require.TestingT, count int) {
	for range count {
		m.step()
		m.checkInvariants(t)
	}
}

func (m *machine) pickProcess(t *rapid.T) *process {
	return m.latest(rapid.IntRange(0, m.instances-1).Draw(t, "instance"))
}

func (m *machine) toggleLink(a, b int) {
	link := [2]int{min(a, b), max(a, b)}
	m.cutLinks[link] = !m.cutLinks[link]
}

func (m *machine) restart(p *process) {
	if !p.running {
		m.start(p.instance)
	}
}

// heal ends all faults. A failed instance restarts or is declared dead by an operator.
func (m *machine) heal(t *rapid.T) {
	m.storeDown = false
	clear(m.cutLinks)
	for instance := range m.instances {
		p := m.latest(instance)
		p.paused, p.responsesToLose = false, 0
		if p.running {
			continue
		}
		if instance == 0 || rapid.Bool().Draw(t, "restart") {
			m.restart(p)
			continue
		}
		m.declareDead(p.assigner.Self().Owner)
	}
}

func (m *machine) requireAllUsable(t require.TestingT) {
	for server := range modelServers {
		_, shared := m.usable(server)
		require.Equal(t, modelSlots, shared, "usable slots of server %d", server)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { m.checkInvariants(t) },
		"advance": func(t *rapid.T) {
			m.steps(t, rapid.IntRange(1, 50).Draw(t, "steps"))
		},
		"pause":        func(t *rapid.T) { m.pickProcess(t).paused = true },
		"resume":       func(t *rapid.T) { m.pickProcess(t).paused = false },
		"toggle store": func(*rapid.T) { m.storeDown = !m.storeDown },
		"cut store":    func(t *rapid.T) { m.toggleLink(-1, m.pickProcess(t).instance) },
		"cut peers":    func(t *rapid.T) { m.toggleLink(m.pickProcess(t).instance, m.pickProcess(t).instance) },
		"lose answers": func(t *rapid.T) { m.pickProcess(t).responsesToLose = rapid.IntRange(1, 3).Draw(t, "answers") },
		"die": func(t *rapid.T) {
			p := m.pickProcess(t)
			p.running, p.unreachable = false, rapid.Bool().Draw(t, "silent")
		},
		"restart": func(t *rapid.T) { m.restart(m.pickProcess(t)) },
		"leave": func(t *rapid.T) {
			p := m.pickProcess(t)
			p.inbox = append(p.inbox, assigner.LeaveRequested{})
		},
	}
}

// TestMembersNeverOverload guards against two members that may use the same slot, against an epoch that decreases, and
// against slots that stay unused after all faults have ended.
func TestMembersNeverOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{instances: rapid.IntRange(1, 4).Draw(t, "instances")}
		m.cell = newCell(rapid.Uint64().Draw(t, "seed"), m.instances)
		m.steps(t, rapid.IntRange(0, 40).Draw(t, "initial steps"))
		t.Repeat(m.actions())
		m.heal(t)
		m.steps(t, leaveSteps)
		m.restart(m.latest(0))
		m.steps(t, recoverySteps)
		m.requireAllUsable(t)
	})
}

// TestZonePartition guards against a zone that stops serving while the store is unreachable for all its members, and
// against a zone whose members cannot take over a failed member after the outage.
func TestZonePartition(t *testing.T) {
	for _, instances := range []int{1, 2, 7} {
		m := &machine{instances: instances, cell: newCell(1, instances)}
		m.steps(t, 80)
		m.requireAllUsable(t)
		m.storeDown = true
		for range 2400 {
			m.steps(t, 1)
			m.requireAllUsable(t)
		}
		m.storeDown = false
		m.steps(t, 40)
		m.requireAllUsable(t)
		if instances == 1 {
			continue
		}
		m.latest(0).running, m.latest(0).unreachable = false, true
		m.steps(t, recoverySteps)
		m.requireAllUsable(t)
	}
}

// TestRepeatedOutage guards against members that stay in different epochs without a hold agreement. This happens when a
// second outage begins before all members have adopted the epoch that was written after the first one.
func TestRepeatedOutage(t *testing.T) {
	for seed := range uint64(40) {
		m := &machine{instances: 3, cell: newCell(seed, 3)}
		m.steps(t, 80)
		m.storeDown = true
		m.steps(t, 80)
		held := m.record.Epoch
		m.storeDown = false
		for m.record.Epoch == held {
			m.steps(t, 1)
		}
		m.steps(t, int(seed%4))
		m.storeDown = true
		m.steps(t, 80)
		upToDate := 0
		for _, p := range m.processes {
			if p.assigner.Record().Epoch == m.record.Epoch {
				upToDate++
			}
		}
		if upToDate == m.instances {
			m.requireAllUsable(t)
		}
		m.storeDown = false
		m.steps(t, 60)
		m.requireAllUsable(t)
	}
}

// TestPausedMember guards against a member that starts work after a pause during which it was taken over.
func TestPausedMember(t *testing.T) {
	m := &machine{instances: 3, cell: newCell(2, 3)}
	m.steps(t, 80)
	paused := m.latest(1)
	before := paused.assigner.Self().Incarnation
	paused.paused = true
	m.steps(t, int(30*time.Second/stepTime))
	require.False(t, paused.assigner.MayStart(m.now))
	require.False(t, m.record.Has(paused.assigner.Self().Owner), "the paused member was taken over")
	paused.paused = false
	m.steps(t, recoverySteps)
	require.Greater(t, paused.assigner.Self().Incarnation, before, "the member joined as a new incarnation")
	m.requireAllUsable(t)
}
