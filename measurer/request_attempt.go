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

// attempt is one attempt of an instance to run a request on a backend server.
type attempt struct {
	instance *entryInstance
	key      attemptKey
	request  *instanceRequest
	server   *fakebackend.State
	run      fakebackend.RunID
	beganAt  time.Time
	aborted  bool
	ended    bool
}

func (i *entryInstance) start(c dispatcher.StartAttempt) {
	r := i.requests[c.ID]
	i.setQueued(r, false)
	a := &attempt{
		instance: i, request: r, server: i.cell.servers[c.BackendServer], key: attemptKey{c.ID, c.Attempt},
	}
	i.attempts[a.key] = a
	i.cell.after(zoneDelay, a.begin)
}

// abort closes the connection to the backend server of an attempt, or cancels a relayed request at the peer.
func (i *entryInstance) abort(c dispatcher.AbortAttempt) {
	if !c.Relay {
		i.cell.after(zoneDelay, i.attempts[attemptKey{c.ID, c.Attempt}].abort)
		return
	}
	peer := i.requests[c.ID].peer
	i.cell.after(i.cell.delay(i, peer), func() { peer.handle(dispatcher.RequestCancelled{ID: c.ID}) })
}

// running returns the attempts of the instance in a fixed order, so that runs can be repeated.
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

// begin handles the arrival of the attempt at the backend server.
func (a *attempt) begin() {
	cell := a.instance.cell
	if a.aborted {
		a.end(describer.Aborted)
		return
	}
	call := a.request.call
	decision := a.server.Begin(cell.now, fakebackend.Request{
		ID: call.arrival.ID, Key: call.arrival.Key, Kind: call.arrival.Kind, RunTime: call.arrival.RunTime,
	})
	a.run, a.beganAt = decision.Run, cell.now
	if !call.begun {
		call.begun, call.beganAt = true, cell.now
		cell.tally.begin(call)
	}
	cell.accumulateSlotUsage(a.instance).busy[call.arrival.Class]++
	evidence := describer.Answered
	if decision.Mode == fakebackend.FailsFast {
		evidence = describer.Failed
	}
	cell.after(decision.RunTime, func() { a.end(evidence) })
}

// abort handles the end of the connection at the backend server. An attempt that has not arrived yet ends on arrival.
func (a *attempt) abort() {
	a.aborted = true
	if a.run != 0 {
		a.end(describer.Aborted)
	}
}

// end ends the run at the backend server and reports it to the instance.
func (a *attempt) end(evidence describer.Evidence) {
	if a.ended {
		return
	}
	a.ended = true
	cell := a.instance.cell
	if evidence == describer.Answered {
		a.request.call.ranFrom, a.request.call.ranUntil = a.beganAt, cell.now
	}
	if a.run != 0 {
		a.server.End(cell.now, a.run)
		cell.accumulateSlotUsage(a.instance).busy[a.request.call.arrival.Class]--
	}
	cell.after(zoneDelay, func() { a.instance.endAttempt(a, evidence) })
}

func (i *entryInstance) endAttempt(a *attempt, evidence describer.Evidence) {
	delete(i.attempts, a.key)
	if !i.live {
		return
	}
	if evidence == describer.Answered {
		i.finish(a.request, evidence, fakebackend.OutcomeAnswered)
	}
	i.handle(dispatcher.AttemptEnded{ID: a.key.id, Attempt: a.key.number, Evidence: evidence})
}
