package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// borrowInterval is how often the owner looks for steps that do not fit its servers, and askInterval how often it asks
	// the other shards for the servers that such a step lacks.
	borrowInterval = 250 * time.Millisecond
	askInterval    = time.Second
	// borrowAfter is how long a step must not fit before servers are borrowed for it. Servers that restart or are silent
	// for a moment do not count as usable.
	borrowAfter = time.Second
	// cellCheckInterval is the pause after a step was found not to fit the cell. Thousands of such steps may wait, and each
	// check compares a step with all servers.
	cellCheckInterval = 3 * time.Second
	// borrowIdleAfter is how long a step that fits the shard's servers waits for other runs to end before idle servers of
	// other shards are borrowed for it.
	borrowIdleAfter = 2 * time.Second
	// maxBorrowTime bounds how long servers are borrowed for a step that does not start, and is then the time until they
	// are borrowed for it again. It leaves time for long runs on the lent servers to end.
	maxBorrowTime = 30 * time.Second
	// wholeAfter is how long a step borrows before the other shards lend more than their usual part for it.
	wholeAfter = 5 * time.Second
	// returnAfter is how long no step must have needed foreign servers before they are returned. It covers the time in
	// which a new owner finds the steps that need the servers of its predecessor.
	returnAfter = 3 * time.Second
	// maxBorrowingSteps bounds the steps for which servers are borrowed at a time.
	maxBorrowingSteps = 16
	// borrowingForAll is how many of them are the oldest ones, whatever the rates of their teams, so that every step borrows eventually. It
	// is the same part as that of holds.
	borrowingForAll = maxBorrowingSteps / holdsForAll
)

// borrower decides which servers of other shards this one needs.
type borrower struct {
	pass throttle
	// needs are the steps that do not fit the shard's own servers, the oldest first.
	needs []ServersWanted
	// neededAt is when a step last needed foreign servers.
	neededAt time.Time
	// askedAt is when the other shards were last asked.
	askedAt time.Time
}

func newBorrower(now time.Time) borrower {
	return borrower{pass: throttle{interval: borrowInterval}, neededAt: now}
}

// isForeign reports whether a server is borrowed.
func (c *Conductor) isForeign(id specifier.ServerID) bool {
	t, known := c.shard.transfers[id]
	return known && t.Home != c.shard.index
}

// mayRun reports whether a step may run on the server: it has the label that the step requires, borrowed servers are kept for the steps
// that need them, and some fast ones for urgent steps.
func (s *session) mayRun(w *waitingStep) bool {
	return s.server.HasLabel(w.step.Spec.RequiredLabel) && (!s.foreign || w.wait.borrows) && !s.isReservedFrom(w)
}

// borrow asks other shards for the servers that waiting steps lack, and returns those that none needs.
func (c *Conductor) borrow(now time.Time) {
	if !c.borrower.pass.begin(now) {
		return
	}
	c.borrower.needs = c.borrower.needs[:0]
	usable := c.usableByHome(now)
	borrowing := c.stepsThatBorrow(now, usable)
	sortBorrowing(borrowing)
	free := newFreeCapacity(usable.foreign)
	for i, b := range borrowing {
		if b.step.wait.borrows = i < maxBorrowingSteps; b.step.wait.borrows {
			c.ask(now, b.step, b.wanted, usable, free)
		}
	}
	if len(c.borrower.needs) > 0 {
		c.borrower.neededAt = now
	}
	c.returnForeign(now)
}

// borrowingStep is a waiting step that needs foreign servers, and its description for other shards.
type borrowingStep struct {
	step   *waitingStep
	wanted ServersWanted
}

// sortBorrowing orders the steps that need foreign servers: those that do not fit the shard first, because a backlog of others would keep
// them from borrowing, then those within rates. The first borrowingForAll depend on their age and not on rates.
func sortBorrowing(steps []borrowingStep) {
	byWidth := func(a, b borrowingStep) int { return compareBool(!a.wanted.IdleOnly, !b.wanted.IdleOnly) }
	byAge := func(a, b borrowingStep) int { return compareAge(a.wanted, b.wanted) }
	slices.SortFunc(steps, func(a, b borrowingStep) int { return cmp.Or(byWidth(a, b), byAge(a, b)) })
	if len(steps) > maxBorrowingSteps {
		slices.SortFunc(steps[borrowingForAll:], func(a, b borrowingStep) int {
			return cmp.Or(byWidth(a, b), compareRate(a.step, b.step), compareBool(!a.wanted.Worthless, !b.wanted.Worthless), byAge(a, b))
		})
	}
}

// stepsThatBorrow returns the steps that need foreign servers and may start on them.
func (c *Conductor) stepsThatBorrow(now time.Time, usable serversByHome) []borrowingStep {
	var borrowing []borrowingStep
	for _, w := range c.waitingSteps {
		switch {
		case c.isAtLimit(w) || w.waitsForNear(now):
			w.endBorrowing(now)
		case c.needsForeign(now, w, usable):
			wanted := w.wanted()
			wanted.IdleOnly = w.tasksThatFit(wanted, usable.home) >= wanted.Tasks
			wanted.Worthless = w.tierAt(now) == worthless
			borrowing = append(borrowing, borrowingStep{w, wanted})
		}
	}
	return borrowing
}

// serversByHome are the usable servers of the shard, those at home and those that are borrowed.
type serversByHome struct{ home, foreign []*session }

func (c *Conductor) usableByHome(now time.Time) serversByHome {
	var usable serversByHome
	for _, s := range c.orderedSessions() {
		switch {
		case !s.available(now):
		case s.foreign:
			usable.foreign = append(usable.foreign, s)
		default:
			usable.home = append(usable.home, s)
		}
	}
	return usable
}

// wanted describes the step to other shards.
func (w *waitingStep) wanted() ServersWanted {
	return ServersWanted{
		Step: w.step.ID, AcceptedAt: w.job.Spec.AcceptedAt, Service: w.job.queue.Service, Need: w.need(),
		MaxPerServer: w.step.Spec.MaxPerServer, RequiredLabel: w.step.Spec.RequiredLabel, Tasks: w.required(),
	}
}

// tasksThatFit returns how many tasks, up to the wanted number, fit the servers if these are empty.
func (w *waitingStep) tasksThatFit(wanted ServersWanted, servers []*session) int {
	adv := w.job.advice[w.step.ID]
	fitting := 0
	for _, s := range servers {
		if !adv.refuses(s.server) {
			fitting += wanted.fitsEmpty(s.server)
		}
		if fitting >= wanted.Tasks {
			break
		}
	}
	return fitting
}

// tasksElsewhere returns how many tasks would fit the servers of other shards if these are empty.
func (c *Conductor) tasksElsewhere(w *waitingStep, wanted ServersWanted) int {
	adv := w.job.advice[w.step.ID]
	fitting := 0
	for _, server := range c.shard.others {
		if !adv.refuses(server) {
			fitting += wanted.fitsEmpty(server)
		}
	}
	return fitting
}

// needsForeign reports whether a step fits the cell but has not fitted the shard's own servers for borrowAfter, or has
// waited on them for borrowIdleAfter. A step
// that does not fit the cell, or does not start in spite of the borrowed servers, would keep them from others.
func (c *Conductor) needsForeign(now time.Time, w *waitingStep, usable serversByHome) bool {
	if now.Before(w.wait.unfitSince) {
		return false
	}
	wanted := w.wanted()
	home := w.tasksThatFit(wanted, usable.home)
	if home >= wanted.Tasks && !w.waitsForOthers(now, usable.home) {
		w.wait.unfitSince, w.wait.borrows = time.Time{}, false
		return false
	}
	if w.wait.unfitSince.IsZero() {
		w.wait.unfitSince = now
	}
	if now.Sub(w.wait.unfitSince) < borrowAfter {
		return false
	}
	if home+w.tasksThatFit(wanted, usable.foreign)+c.tasksElsewhere(w, wanted) < wanted.Tasks {
		w.wait.unfitSince, w.wait.borrows = now.Add(cellCheckInterval), false
		return false
	}
	if !w.wait.borrows {
		w.wait.borrowsSince = now
	}
	if now.Sub(w.wait.borrowsSince) > maxBorrowTime {
		w.wait.unfitSince, w.wait.borrows = now.Add(maxBorrowTime), false
		return false
	}
	return true
}

// endBorrowing makes the time of a step that may not start begin anew in which it does not fit, except during a pause.
func (w *waitingStep) endBorrowing(now time.Time) {
	if !now.Before(w.wait.unfitSince) {
		w.wait.unfitSince, w.wait.borrows = time.Time{}, false
	}
}

// waitsForOthers reports whether a step has waited for borrowIdleAfter on runs that take its capacity, or on steps that servers are
// held for, and not on advice. A long-running step would keep the servers for good.
func (w *waitingStep) waitsForOthers(now time.Time, home []*session) bool {
	if w.step.Spec.LongRunning || !w.hasWaitedFor(now, borrowIdleAfter) {
		return false
	}
	return !w.couldFit(w.job.adviceFor(w.step.ID), w.withoutHeld(now, slices.Clone(home)))
}

// hasWaitedFor reports whether none of the step's tasks has been placed for the given time.
func (w *waitingStep) hasWaitedFor(now time.Time, limit time.Duration) bool {
	return !w.wait.since.IsZero() && now.Sub(w.wait.since) >= limit
}

// ask records that a step needs foreign servers, and asks other shards for those that it lacks. A step that fits the shard waits for
// capacity, so that only what is free on the borrowed servers counts for it, and counts for no other such step.
func (c *Conductor) ask(now time.Time, w *waitingStep, wanted ServersWanted, usable serversByHome, free freeCapacity) {
	adv := w.job.advice[w.step.ID]
	home, foreign := w.tasksThatFit(wanted, usable.home), w.tasksThatFit(wanted, usable.foreign)
	missing := wanted.Tasks - foreign - home
	if wanted.IdleOnly {
		foreign = free.take(w, wanted, usable.foreign)
		missing = wanted.Tasks - foreign
	}
	if adv != nil {
		for id := range adv.refused {
			server, elsewhere := c.shard.others[id]
			if s := c.sessions[id]; !elsewhere && s != nil && c.isForeign(id) {
				server = s.server
			}
			if adv.refuses(server) {
				wanted.Refused = append(wanted.Refused, id)
			}
		}
	}
	c.borrower.needs = append(c.borrower.needs, wanted)
	if missing <= 0 || now.Before(w.wait.nextAskAt) {
		return
	}
	w.wait.nextAskAt = now.Add(askInterval)
	c.borrower.askedAt = now
	wanted.Shard, wanted.Epoch, wanted.ReadRevision = c.shard.index, c.epoch, c.shard.readRevision
	wanted.Load = c.load(now, wanted.Service)
	elsewhere := c.tasksElsewhere(w, wanted)
	wanted.Whole = !wanted.IdleOnly && (elsewhere+foreign < lentShare*(missing+foreign) || now.Sub(w.wait.borrowsSince) > wholeAfter)
	wanted.Tasks = missing
	if w.job.queue.Advice.Needed {
		// Advice refuses some of the servers.
		wanted.Tasks *= adviceOverRequest
	}
	c.logAsked(w, fmt.Sprintf(
		"%d tasks, %d fit the shard's servers, %d the borrowed ones, %d those of other shards; %d refused, asked for %d tasks, whole %t, idle only %t",
		w.required(), home, foreign, elsewhere, len(wanted.Refused), wanted.Tasks, wanted.Whole, wanted.IdleOnly))
	c.emit(Borrow{Wanted: wanted})
}

// freeCapacity is the free capacity of borrowed servers that no step counts on yet.
type freeCapacity map[*session]specifier.Resources

func newFreeCapacity(servers []*session) freeCapacity {
	free := make(freeCapacity, len(servers))
	for _, s := range servers {
		free[s] = s.freeCapacity()
	}
	return free
}

// take returns how many tasks of a step, up to the wanted number, fit the free capacity, and takes it.
func (f freeCapacity) take(w *waitingStep, wanted ServersWanted, servers []*session) int {
	adv := w.job.advice[w.step.ID]
	taken := 0
	for _, s := range servers {
		if taken >= wanted.Tasks {
			break
		}
		if adv.refuses(s.server) || wanted.fitsEmpty(s.server) == 0 {
			continue
		}
		n := w.need().Count(f[s], min(w.limitOn(s), wanted.Tasks-taken))
		f[s] = f[s].Minus(w.need().Times(n))
		taken += n
	}
	return taken
}

// logAsked logs a wish unless it repeats the one before.
func (c *Conductor) logAsked(w *waitingStep, detail string) {
	if w.wait.asked != detail {
		w.wait.asked = detail
		c.logDecision("ServersAsked", w.step.ID.Task(w.waiting[0]), 0, "", detail)
	}
}

// returnForeign returns the idle foreign servers that no step needs to their home shards.
func (c *Conductor) returnForeign(now time.Time) {
	idle := now.Sub(c.borrower.neededAt) >= returnAfter
	var returned []Transfer
	for id, t := range c.shard.transfers {
		if t.Home == c.shard.index || !c.isOwn(t) || c.isMoving(id) {
			continue
		}
		s := c.sessions[id]
		// A server that is neither listed nor has runs has no session.
		if s == nil && !idle || s != nil && (!c.idle(s) || !idle && c.useful(s)) {
			continue
		}
		returned = append(returned, t)
	}
	c.move(returned, func(t Transfer) Transfer { return Transfer{Server: t.Server, Shard: t.Home, Home: t.Home} })
}

// useful reports whether any step that needs foreign servers could run on the server.
func (c *Conductor) useful(s *session) bool {
	return len(c.borrower.needs) == 0 || slices.ContainsFunc(c.borrower.needs, func(wanted ServersWanted) bool {
		return wanted.fitsEmpty(s.server) > 0 && !slices.Contains(wanted.Refused, s.server.ID)
	})
}
