package conductor

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// lendInterval is how often the owner decides which servers to lend.
	lendInterval = 100 * time.Millisecond
	// wishLifetime is how long a wish counts after it was last repeated.
	wishLifetime = 2500 * time.Millisecond
	// lentShare is the divisor of the part of its servers that a shard lends at a time, so that it keeps some for its own
	// jobs, unless the wish cannot be met otherwise.
	lentShare = 2
	// levelMargin is by how much the load of a shard that lends idle servers is lower than that of the one that borrows, so that
	// servers do not move back and forth.
	levelMargin = 5
	// maxLenderLoad is the load up to which a shard lends idle servers, so that its own jobs still start at once. For steps whose
	// results have no value any more it is busyPercent, from which on the platform lets work wait.
	maxLenderLoad = 75
	// fullLoad is the assumed load of a shard that does not send it.
	fullLoad = 100
	// keptIdleShare is the divisor of the part of its servers that a shard keeps when it lends only idle ones.
	keptIdleShare = 4
	// maxMoves bounds the servers in a transaction of the store, which admits 32 entries: two for each server and the keys
	// of both owners.
	maxMoves = 15
	// maxTransfersAge is how old the owner's view of the transfers becomes while it expects none. A transfer may take effect
	// long after the server was asked for, because the lender retries it.
	maxTransfersAge = 3 * time.Second
)

// lender decides which servers this shard lends to others.
type lender struct {
	pass   throttle
	wishes map[wishKey]*wish
}

type wishKey struct {
	shard int
	step  specifier.StepID
}

// wish is a request of another shard for servers.
type wish struct {
	ServersWanted
	// refused are also the servers that were returned since the wish was sent.
	refused   map[specifier.ServerID]bool
	expiresAt time.Time
}

func newLender() lender {
	return lender{pass: throttle{interval: lendInterval}, wishes: make(map[wishKey]*wish)}
}

// wanted records a wish of another shard.
func (c *Conductor) wanted(now time.Time, e ServersWanted) {
	for key, known := range c.lender.wishes {
		switch {
		case key.shard != e.Shard || known.Epoch == e.Epoch:
		case known.Epoch > e.Epoch:
			return
		default:
			delete(c.lender.wishes, key)
		}
	}
	c.lender.wishes[wishKey{e.Shard, e.Step}] = &wish{
		ServersWanted: e, refused: setOf(e.Refused), expiresAt: now.Add(wishLifetime),
	}
}

func setOf(ids []specifier.ServerID) map[specifier.ServerID]bool {
	set := make(map[specifier.ServerID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// dropWishes forgets the wishes of an owner to which a server could not be transferred, because it may have been replaced.
// An owner that is still there repeats them.
func (c *Conductor) dropWishes(failed *wish) {
	for key, w := range c.lender.wishes {
		if failed != nil && key.shard == failed.Shard && w.Epoch == failed.Epoch {
			delete(c.lender.wishes, key)
		}
	}
}

// noteReturned records that a shard has returned a server, which it would return again.
func (c *Conductor) noteReturned(before Transfer) {
	for key, w := range c.lender.wishes {
		if key.shard == before.Shard {
			w.refused[before.Server] = true
		}
	}
}

// lend chooses the servers to lend anew, and transfers those that are idle.
func (c *Conductor) lend(now time.Time) {
	if !c.lender.pass.begin(now) {
		return
	}
	for key, w := range c.lender.wishes {
		if !now.Before(w.expiresAt) {
			delete(c.lender.wishes, key)
		}
	}
	previous := c.clearLent()
	wishes := make([]*wish, 0, len(c.lender.wishes))
	var permitted []*waitingStep
	if len(c.lender.wishes) > 0 {
		permitted = c.permittedSteps()
	}
	for _, w := range c.lender.wishes {
		if !c.hasOlderNeed(w) && (!w.IdleOnly || !c.hasBlockedStep(now, w.Service, permitted)) {
			wishes = append(wishes, w)
		}
	}
	slices.SortFunc(wishes, func(a, b *wish) int { return compareAge(a.ServersWanted, b.ServersWanted) })
	counted := make(map[specifier.ServerID]bool)
	for _, w := range wishes {
		c.choose(now, w, previous, counted)
	}
	c.moveLent()
	if len(previous) > 0 {
		c.replan = true
	}
}

// clearLent withdraws the choice of all servers that are not being moved, and returns the servers that were chosen.
func (c *Conductor) clearLent() map[specifier.ServerID]bool {
	previous := make(map[specifier.ServerID]bool)
	for id, s := range c.sessions {
		if s.lentTo != nil && !s.moving {
			previous[id], s.lentTo = true, nil
		}
	}
	return previous
}

// hasOlderNeed reports whether a step of this shard needs foreign servers itself and is older than the wish.
func (c *Conductor) hasOlderNeed(w *wish) bool {
	return slices.ContainsFunc(c.borrower.needs, func(own ServersWanted) bool {
		return compareAge(own, w.ServersWanted) < 0
	})
}

// isAdmitted reports whether advice has admitted a waiting step of this shard to the server.
func (c *Conductor) isAdmitted(s *session) bool {
	for _, w := range c.waitingSteps {
		if _, granted := w.job.advice[w.step.ID].ticketFor(s.server); granted {
			return true
		}
	}
	return false
}

// choose chooses servers for a wish until they and those on their way fit the wanted tasks. Those that are kept for urgent steps come
// last, and are not lent to steps that fit elsewhere. Otherwise idle servers come first, then
// those that were chosen before, then those with the least used cores.
func (c *Conductor) choose(now time.Time, w *wish, previous, counted map[specifier.ServerID]bool) {
	fitting := c.tasksOnTheWay(w, counted)
	var candidates []*session
	for _, s := range c.sessions {
		// Servers that are held for a step of this shard are not lent.
		if s.holder != nil || w.IdleOnly && (s.reserved || len(s.allocations) > 0 || c.isAdmitted(s)) {
			continue
		}
		if s.usable(now) && !w.refused[s.server.ID] && w.fitsEmpty(s.server) > 0 && !c.runsForGood(s) {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *session) int {
		return cmp.Or(
			compareBool(!a.reserved, !b.reserved),
			compareBool(len(a.allocations) == 0, len(b.allocations) == 0),
			compareBool(previous[a.server.ID], previous[b.server.ID]),
			cmp.Compare(a.used.MilliCores, b.used.MilliCores), cmp.Compare(a.server.ID, b.server.ID),
		)
	})
	lendable := c.lendable(now, w)
	for _, s := range candidates {
		if fitting >= w.Tasks {
			return
		}
		if !s.foreign {
			if lendable <= 0 {
				continue
			}
			lendable--
		}
		s.lentTo = w
		fitting += w.fitsEmpty(s.server)
		counted[s.server.ID] = counted[s.server.ID] || w.IdleOnly
	}
}

// tasksOnTheWay returns how many of the wanted tasks fit the servers that are chosen for the shard that borrows, and those
// that were transferred to it and that it did not know of when it sent the wish. A server counts for one wish for idle servers only:
// otherwise the shard would get no more of them than its widest step needs, however many steps wait.
func (c *Conductor) tasksOnTheWay(w *wish, counted map[specifier.ServerID]bool) int {
	fitting := 0
	add := func(id specifier.ServerID, server specifier.Server) {
		if w.refused[id] || w.IdleOnly && (counted[id] || fitting >= w.Tasks) {
			return
		}
		if tasks := w.fitsEmpty(server); tasks > 0 {
			fitting += tasks
			counted[id] = counted[id] || w.IdleOnly
		}
	}
	for _, s := range c.orderedSessions() {
		if s.lentTo != nil && s.lentTo.Shard == w.Shard {
			add(s.id, s.server)
		}
	}
	for id, t := range c.shard.transfers {
		if t.Shard == w.Shard && t.Revision > w.ReadRevision {
			add(id, c.shard.others[id])
		}
	}
	return fitting
}

// lendable returns how many more of the shard's own servers may be lent or kept free for lending.
func (c *Conductor) lendable(now time.Time, w *wish) int {
	limit := c.shard.listedHome
	switch {
	case w.IdleOnly:
		limit = c.surplus(now, w)
	case !w.Whole:
		limit /= lentShare
	}
	for _, t := range c.shard.transfers {
		if !w.IdleOnly && t.Home == c.shard.index && !c.isOwn(t) {
			limit--
		}
	}
	for _, s := range c.sessions {
		if s.lentTo != nil && !s.foreign {
			limit--
		}
	}
	return limit
}

// runsForGood reports whether a run on the server lasts until its job is cancelled.
func (c *Conductor) runsForGood(s *session) bool {
	for _, a := range s.allocations {
		if c.lasts(a) {
			return true
		}
	}
	return false
}

// idle reports whether nothing that this owner has ordered can still run or be reported on the server, and all records in
// the store agree: an order without a known outcome keeps its allocation until the server has responded under a higher
// fencing token.
func (c *Conductor) idle(s *session) bool {
	c.dropRecorded(s)
	return !s.moving && s.listed && len(s.allocations) == 0 && len(s.pending) == 0 && len(s.unrecorded) == 0 && s.quiet &&
		s.reconciled && s.clockKnown && s.responsive() && s.respondedFence == s.fence
}

// moveLent transfers the chosen servers that are idle.
func (c *Conductor) moveLent() {
	lent := make(map[int][]Transfer)
	epochs := make(map[int]int64)
	for _, s := range c.sessions {
		if s.lentTo != nil && c.idle(s) {
			lent[s.lentTo.Shard] = append(lent[s.lentTo.Shard], c.transferOf(s.server))
			epochs[s.lentTo.Shard] = s.lentTo.Epoch
		}
	}
	for shard, transfers := range lent {
		c.move(transfers, func(t Transfer) Transfer {
			return Transfer{Server: t.Server, Shard: shard, Home: t.Home, Epoch: epochs[shard]}
		})
	}
}

// move transfers servers to the shard that the function returns for each.
func (c *Conductor) move(from []Transfer, target func(Transfer) Transfer) {
	slices.SortFunc(from, func(a, b Transfer) int { return cmp.Or(cmp.Compare(a.Home, b.Home), cmp.Compare(a.Server, b.Server)) })
	command := c.newMove()
	for _, t := range from {
		to := target(t)
		if len(command.To) == maxMoves || len(command.To) > 0 && command.To[0].Shard != to.Shard {
			c.emit(command)
			command = c.newMove()
		}
		c.shard.moving[t.Server] = command.Number
		command.From, command.To = append(command.From, t), append(command.To, to)
		if s := c.sessions[t.Server]; s != nil {
			s.moving = true
		}
	}
	if len(command.To) > 0 {
		c.emit(command)
	}
}

func (c *Conductor) newMove() Move {
	c.shard.lastMove++
	return Move{Number: c.shard.lastMove}
}

// FollowsTransfers reports whether the transfers are to be read: servers are lent, borrowed or asked for, or the last read was
// long ago.
func (c *Conductor) FollowsTransfers(now time.Time) bool {
	if now.Sub(c.borrower.askedAt) < 2*wishLifetime || now.Sub(c.shard.transfersReadAt) >= maxTransfersAge {
		return true
	}
	for _, t := range c.shard.transfers {
		if t.Home == c.shard.index != c.isOwn(t) {
			return true
		}
	}
	return false
}
