package assigner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// QuiesceWindow is how long no member starts work on a quiesced backend server. It covers the next heartbeat (0.5 s),
	// the run of most requests, the lag of a usage report (2 s) and the next read of it (1 s).
	QuiesceWindow = 8 * time.Second
	// quiescedPart is the part of the zone's backend servers that is quiesced at a time: one in eight.
	quiescedPart = 8
)

// quiesce is the placing member's choice of backend servers on which no member starts work for a while, so that a
// usage report can show that nothing of a stopped holder is left there. A busy backend server never looks idle.
type quiesce struct {
	servers []describer.BackendServerID
	until   time.Time
	last    describer.BackendServerID
}

// chooseQuiesced follows the quarantined backend servers in turns. Only the placing member chooses.
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
	count := min(len(candidates), max(1, len(a.order)/quiescedPart))
	a.quiesce = quiesce{until: now.Add(QuiesceWindow)}
	for i := range count {
		a.quiesce.servers = append(a.quiesce.servers, candidates[(first+i)%len(candidates)])
	}
	a.quiesce.last = a.quiesce.servers[count-1]
}

// needsQuiescence reports whether a stopped holder that no longer reports may have left work on a backend server whose
// reports do not tell owners apart. A leaving member reports itself when its work has ended.
func (a *Assigner) needsQuiescence(now time.Time, id describer.BackendServerID) bool {
	if a.usage[id].ByOwner != nil {
		return false
	}
	known := a.servers[id]
	return slices.ContainsFunc(a.adopted.Previous, func(holding Holding) bool {
		silent := now.Sub(a.peer(holding.Owner).heardAt) > PeerTimeout
		return holding.Stopped && silent && known.slotsOf(holding.Position) != 0 && !a.isCleared(holding, id)
	})
}

// quiesced returns the backend servers on which this member starts no work now: its own choice, or that of a placing
// member that was heard of a short time ago.
func (a *Assigner) quiesced(now time.Time) []describer.BackendServerID {
	placing, ok := a.adopted.PlacingMember()
	if !ok || placing == a.self.Owner {
		return a.quiesce.servers
	}
	sender := a.peer(placing)
	if now.Sub(sender.heardAt) > PeerTimeout {
		return nil
	}
	return sender.heartbeat.Quiesced
}
