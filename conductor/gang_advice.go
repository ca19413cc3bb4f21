package conductor

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// gangTickets returns the servers to request tickets for so that a gang can start that is late or has servers held. If it
// fits the admitted servers, it renews their tickets. Otherwise it asks about further servers, or renews tickets in advance
// while advisors are idle.
func (c *Conductor) gangTickets(p *pass, w *waitingStep, adv *advice, idle bool) []specifier.ServerID {
	admitted, unknown := c.admittedServers(p, w)
	admitted = w.withoutHeld(p.now, admitted)
	if fitsOn(admitted, len(w.waiting), w.fits) {
		return w.expiringTickets(p.now, adv, admitted)
	}
	if names := w.unknownServers(admitted, unknown, idle); len(names) > 0 || !idle {
		return names
	}
	return w.expiringTickets(p.now, adv, admitted)
}

// expiringTickets returns the servers among those that suit the gang best whose tickets expire before a call for all of them
// could renew them.
func (w *waitingStep) expiringTickets(now time.Time, adv *advice, admitted []*session) []specifier.ServerID {
	slices.SortFunc(admitted, w.compareExpectedNearness)
	needed := countServers(admitted, w.withSpare(), w.fits)
	named := max(needed, min(countServers(admitted, renewalFactor*len(w.waiting), w.fits), maxAdviceServers))
	neededUntil := now.Add(w.adviceTime(min(named, maxAdviceServers)) + 2*ticketMargin)
	var names []specifier.ServerID
	for _, s := range admitted[:named] {
		if t, _ := adv.ticketFor(s.server); t.validUntil.Before(neededUntil) {
			names = append(names, s.server.ID)
		}
	}
	return names
}

// unknownServers returns the servers about which advice is requested for a gang that does not fit the admitted ones. While
// no advisors are idle, it returns none if the gang fits the admitted servers once other runs have ended, and further ones
// are unlikely to let it start now.
func (w *waitingStep) unknownServers(admitted, unknown []*session, idle bool) []specifier.ServerID {
	unknown = slices.DeleteFunc(unknown, func(s *session) bool { return w.fitsEmpty(s) == 0 })
	slices.SortFunc(unknown, w.compareExpectedNearness)
	missing := len(w.waiting) - countTasks(admitted, w.fits)
	if idle || countTasks(unknown, w.fits) >= adviceOverRequest*missing {
		return serverIDs(unknown[:callSize(unknown, missing, w.fits)])
	}
	missing = w.withSpare() - countTasks(admitted, w.fitsEmpty)
	if missing > 0 {
		return serverIDs(unknown[:callSize(unknown, missing, w.fitsEmpty)])
	}
	return nil
}
