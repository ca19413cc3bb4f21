package assigner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// QuiesceWindow is the time for which no member starts work on a quiesced backend server. It covers the next
	// heartbeat (0.5 s), the run time of most requests, the lag of a usage report (2 s) and the interval between two
	// reads of usage reports (1 s).
	QuiesceWindow = 8 * time.Second
	// quiescedDivisor determines how many of the zone's backend servers are quiesced at a time: one in eight.
	quiescedDivisor = 8
)

// quiesce is the set of backend servers, chosen by the placing member, on which no member starts work for a while. A
// usage report can then show that a stopped holder has no work left there, which it cannot while the backend server is
// busy with other work.
type quiesce struct {
	servers []describer.BackendServerID
	until   time.Time
	last    describer.BackendServerID
}

// chooseQuiesced selects the next quarantined backend servers in round-robin order. Only the placing member does so.
func (a *Assigner) chooseQuiesced(now time.Time) {
	placing, _ := a.adopted.PlacingMember()
	if placing != a.self.Owner || !a.MayStart(now) {
		a.quiesce.servers = nil
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(a.quarantined), func(id describer.BackendServerID) bool {
		return !a.needsQuiescence(now, id)
	})
	a.quiesce.servers = slices.DeleteFunc(slices.Clone(a.quiesce.servers), func(id describer.BackendServerID) bool {
		return !slices.Contains(candidates, id)
	})
	if len(a.quiesce.servers) > 0 && now.Before(a.quiesce.until) || len(candidates) == 0 {
		return
	}
	first := slices.Index(candidates, a.quiesce.last) + 1
	count := min(len(candidates), max(1, len(a.serverIDs)/quiescedDivisor))
	a.quiesce = quiesce{until: now.Add(QuiesceWindow)}
	for i := range count {
		a.quiesce.servers = append(a.quiesce.servers, candidates[(first+i)%len(candidates)])
	}
	a.quiesce.last = a.quiesce.servers[count-1]
}

// needsQuiescence reports whether a stopped holder that sends no more heartbeats may have work left on a backend server
// whose usage reports do not distinguish owners. A leaving member needs none: its heartbeats report when its work has
// ended.
func (a *Assigner) needsQuiescence(now time.Time, id describer.BackendServerID) bool {
	if a.usage[id].ByOwner != nil {
		return false
	}
	backend := a.servers[id]
	return slices.ContainsFunc(a.adopted.Previous, func(holding Holding) bool {
		silent := now.Sub(a.peer(holding.Owner).lastHeartbeatAt) > PeerTimeout
		return holding.Stopped && silent && backend.slotsOf(holding.Position) != 0 && !a.isCleared(holding, id)
	})
}

// quiesced returns the backend servers on which this member must not start work now: its own selection if it is the
// placing member, or else the selection in the placing member's last heartbeat if that is recent.
func (a *Assigner) quiesced(now time.Time) []describer.BackendServerID {
	placing, ok := a.adopted.PlacingMember()
	if !ok || placing == a.self.Owner {
		return a.quiesce.servers
	}
	sender := a.peer(placing)
	if now.Sub(sender.lastHeartbeatAt) > PeerTimeout {
		return nil
	}
	return sender.heartbeat.Quiesced
}
