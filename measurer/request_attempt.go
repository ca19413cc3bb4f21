package measurer

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/fakebackend"
)

type attemptKey struct {
	id     describer.RequestID
	number int
}

// attempt is one attempt of an instance at a backend server.
type attempt struct {
	instance *entryInstance
	key      attemptKey
	stay     *stay
	server   *fakebackend.State
	run      fakebackend.RunID
	beganAt  time.Time
	aborted  bool
	ended    bool
}

func (i *entryInstance) start(c dispatcher.StartAttempt) {
	s := i.stays[c.ID]
	i.setQueued(s, false)
	a := &attempt{
		instance: i, stay: s, server: i.cell.servers[c.BackendServer], key: attemptKey{c.ID, c.Attempt},
	}
	i.attempts[a.key] = a
	i.cell.after(zoneDelay, a.begin)
}

// abort closes the connection of an attempt, or that of a relay.
func (i *entryInstance) abort(c dispatcher.AbortAttempt) {
	if !c.Relay {
		i.cell.after(zoneDelay, i.attempts[attemptKey{c.ID, c.Attempt}].abort)
		return
	}
	peer := i.stays[c.ID].peer
	i.cell.after(i.cell.delay(i, peer), func() { peer.handle(dispatcher.RequestCancelled{ID: c.ID}) })
}

// running returns the attempts in a fixed order.
func (i *entryInstance) running() []*attempt {
	var list []*attempt
	for _, a := range i.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.key.id, b.key.id), cmp.Compare(a.key.number, b.key.number))
	})
	return list
}

// begin is the arrival of the attempt at the backend server.
func (a *attempt) begin() {
	cell := a.instance.cell
	if a.aborted {
		a.end(describer.Aborted)
		return
	}
	k := a.stay.call
	decision := a.server.Begin(cell.now, fakebackend.Request{
		ID: k.arrival.ID, Key: k.arrival.Key, Kind: k.arrival.Kind, RunTime: k.arrival.RunTime,
	})
	a.run, a.beganAt = decision.Run, cell.now
	if !k.begun {
		k.begun, k.beganAt = true, cell.now
		cell.tally.begin(k)
	}
	cell.countUse(a.instance).busy[k.arrival.Class]++
	evidence := describer.Answered
	if decision.Mode == fakebackend.FailsFast {
		evidence = describer.Failed
	}
	cell.after(decision.RunTime, func() { a.end(evidence) })
}

// abort is the end of the connection, seen by the backend server.
func (a *attempt) abort() {
	a.aborted = true
	if a.run != 0 {
		a.end(describer.Aborted)
	}
}

// end is the end of the run at the backend server.
func (a *attempt) end(evidence describer.Evidence) {
	if a.ended {
		return
	}
	a.ended = true
	cell := a.instance.cell
	if evidence == describer.Answered {
		a.stay.call.ranFrom, a.stay.call.ranUntil = a.beganAt, cell.now
	}
	if a.run != 0 {
		a.server.End(cell.now, a.run)
		cell.countUse(a.instance).busy[a.stay.call.arrival.Class]--
	}
	cell.after(zoneDelay, func() { a.instance.endAttempt(a, evidence) })
}

func (i *entryInstance) endAttempt(a *attempt, evidence describer.Evidence) {
	delete(i.attempts, a.key)
	if !i.alive {
		return
	}
	if evidence == describer.Answered {
		i.finish(a.stay, evidence, fakebackend.ToldAnswered)
	}
	i.handle(dispatcher.AttemptEnded{ID: a.key.id, Attempt: a.key.number, Evidence: evidence})
}
