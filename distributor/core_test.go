package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/ticketer"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// limitTicket returns a ticket that sets the limit of each team to a value.
func limitTicket(id string, base int64, value int, teams ...string) ticketer.Ticket {
	ticket := ticketer.Ticket{ID: id, Base: base, Limits: make(map[describer.TeamID]*ticketer.Limit)}
	for _, team := range teams {
		name := describer.TeamID(team)
		ticket.Limits[name] = &ticketer.Limit{Team: name, RequestsInProgress: value}
	}
	return ticket
}

// delayingStore records the accepted tickets and can delay a write until after its caller has received an error.
type delayingStore struct {
	*fakekeeper.Store
	delayNext bool
	// delayed are the writes that are not yet executed, oldest first.
	delayed []keeper.PutOptions
	// log are the accepted tickets: the first record that was written under each number.
	log []ticketer.AcceptedTicket
}

func (s *delayingStore) Put(ctx context.Context, options keeper.PutOptions) (keeper.Entry, error) {
	if s.delayNext {
		s.delayNext = false
		s.delayed = append(s.delayed, options)
		return keeper.Entry{}, keeper.ErrUnavailable
	}
	before, _ := s.Store.Get(ctx, options.Key)
	entry, err := s.Store.Put(ctx, options)
	after, _ := s.Store.Get(ctx, options.Key)
	if before.Version == 0 && after.Version == 1 {
		s.observe(options)
	}
	return entry, err
}

func (s *delayingStore) observe(options keeper.PutOptions) {
	record, err := decodeTicket(keeper.Entry{Key: options.Key, Value: options.Value})
	if err == nil && record.Number == int64(len(s.log))+1 {
		s.log = append(s.log, record)
	}
}

// member is one entry instance of the model.
type member struct {
	ticketLog *ticketLog
	// proposal is nil when the member has no ticket to write.
	proposal *proposal
	// applied is the last applied number at the previous check.
	applied int64
}

// cell is a model of the entry instances of a cell, which execute single steps against one store.
type cell struct {
	ctx     context.Context
	store   *delayingStore
	keep    retention
	members []*member
	// states are the encoded states by the number of the last applied ticket.
	states map[int64]string
	// accepted holds the numbers of the tickets that were reported as accepted, by ticket ID; refused holds the IDs of
	// those that were reported as refused.
	accepted map[string]int64
	refused  map[string]bool
	proposed []ticketer.Ticket
	// proposals counts the proposals of each ticket ID.
	proposals map[string]int
}

func newCell(members int) *cell {
	c := &cell{
		ctx:       context.Background(),
		store:     &delayingStore{Store: fakekeeper.New()},
		keep:      retention{interval: 4, tickets: 6},
		states:    make(map[int64]string),
		accepted:  make(map[string]int64),
		refused:   make(map[string]bool),
		proposals: make(map[string]int),
	}
	for range members {
		one := &member{}
		c.members = append(c.members, one)
		c.restart(one)
	}
	return c
}

func (c *cell) restart(m *member) {
	*m = member{ticketLog: &ticketLog{store: newMonitor(c.store), holder: newHolder(c.keep)}}
}

func (c *cell) propose(m *member, ticket ticketer.Ticket) {
	c.proposals[ticket.ID]++
	writeID := fmt.Sprintf("%s-%d", ticket.ID, c.proposals[ticket.ID])
	c.proposed = append(c.proposed, ticket)
	m.proposal = &proposal{ticket: ticket, writeID: writeID}
}

// advance executes one step of a member's proposal.
func (c *cell) advance(t require.TestingT, m *member) {
	if m.proposal == nil {
		return
	}
	current, _ := m.ticketLog.holder.current()
	next := m.proposal.plan(current, time.Unix(0, 0))
	if !next.done {
		_ = m.ticketLog.execute(c.ctx, m.proposal, next)
		return
	}
	id := m.proposal.ticket.ID
	m.proposal = nil
	if next.err == nil {
		c.accept(t, id, next.number)
		return
	}
	require.True(t, classifier.IsErrNotRun(next.err), "%v", next.err)
	c.refused[id] = true
}

// advanceWith executes one step of a member during a fault of the store.
func (c *cell) advanceWith(t *rapid.T, fault string) {
	m := c.member(t)
	faults := fakekeeper.Faults{Down: fault == "down"}
	if fault == "lost" {
		faults.LoseWriteResponses = 1
	}
	c.store.SetFaults(faults)
	c.store.delayNext = fault == "late"
	c.advance(t, m)
	c.store.SetFaults(fakekeeper.Faults{})
	c.store.delayNext = false
}

func (c *cell) accept(t require.TestingT, id string, number int64) {
	require.LessOrEqual(t, number, int64(len(c.store.log)), "ticket %s was acknowledged under a free number", id)
	require.Equal(t, id, c.store.log[number-1].Ticket.ID, "ticket %s was acknowledged and lost", id)
	if earlier, ok := c.accepted[id]; ok {
		require.Equal(t, earlier, number, "ticket %s has two numbers", id)
	}
	c.accepted[id] = number
}

func (c *cell) member(t *rapid.T) *member {
	return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
}

// check checks what must hold after every action: no member's state reverts, and members that have applied the same
// number have the same state.
func (c *cell) check(t require.TestingT) {
	for _, m := range c.members {
		current, _ := m.ticketLog.holder.current()
		applied := current.state.Applied()
		require.GreaterOrEqual(t, applied, m.applied, "the state in force reverted")
		m.applied = applied
		encoded, err := json.Marshal(current.state.Snapshot())
		require.NoError(t, err)
		if known, ok := c.states[applied]; ok {
			require.Equal(t, known, string(encoded), "two states after ticket %d", applied)
		}
		c.states[applied] = string(encoded)
	}
}

// checkLog checks that the store accepted no ticket twice and none despite a conflict, and that no ticket that was
// proposed once was both refused and accepted.
func (c *cell) checkLog(t require.TestingT) {
	ids := make(map[string]bool)
	for i, accepted := range c.store.log {
		require.False(t, ids[accepted.Ticket.ID], "ticket %s was accepted twice", accepted.Ticket.ID)
		ids[accepted.Ticket.ID] = true
		conflicts := ticketer.Conflicts(accepted.Ticket.Base, accepted.Ticket, c.store.log[:i])
		require.Empty(t, conflicts, "ticket %d was accepted despite a conflict", accepted.Number)
	}
	for id := range c.refused {
		if c.proposals[id] == 1 {
			require.False(t, ids[id], "ticket %s was refused and accepted", id)
		}
	}
}

func (c *cell) actions() map[string]func(*rapid.T) {
	teams := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"red", "blue", "green", "white"}), 1, 2, rapid.ID[string])
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { c.check(t) },
		"propose": func(t *rapid.T) {
			m := c.member(t)
			if m.proposal != nil {
				t.Skip("the member has a proposal already")
			}
			lag := rapid.Int64Range(-1, 3).Draw(t, "lag")
			current, _ := m.ticketLog.holder.current()
			base := max(0, current.state.Applied()-lag)
			value := rapid.IntRange(0, 9).Draw(t, "value")
			c.propose(m, limitTicket(fmt.Sprintf("t%d", len(c.proposed)), base, value, teams.Draw(t, "teams")...))
		},
		"propose again": func(t *rapid.T) {
			m := c.member(t)
			if m.proposal != nil || len(c.proposed) == 0 {
				t.Skip("the member has a proposal already, or no ticket was proposed")
			}
			c.propose(m, rapid.SampledFrom(c.proposed).Draw(t, "ticket"))
		},
		"steps": func(t *rapid.T) {
			m := c.member(t)
			for range rapid.IntRange(1, 4).Draw(t, "steps") {
				c.advance(t, m)
			}
		},
		"step with outage":      func(t *rapid.T) { c.advanceWith(t, "down") },
		"step with lost answer": func(t *rapid.T) { c.advanceWith(t, "lost") },
		"step with late write":  func(t *rapid.T) { c.advanceWith(t, "late") },
		"late write": func(t *rapid.T) {
			if len(c.store.delayed) == 0 {
				t.Skip("no write is delayed")
			}
			options := c.store.delayed[0]
			c.store.delayed = c.store.delayed[1:]
			_, _ = c.store.Put(c.ctx, options)
		},
		"burst": func(t *rapid.T) {
			m := c.member(t)
			for range rapid.IntRange(1, 12).Draw(t, "tickets") {
				c.runProposal(t, m)
				current, _ := m.ticketLog.holder.current()
				c.propose(m, limitTicket(fmt.Sprintf("t%d", len(c.proposed)), current.state.Applied(), 1, "burst"))
			}
			c.runProposal(t, m)
		},
		"sync":    func(t *rapid.T) { _, _ = c.member(t).ticketLog.resync(c.ctx) },
		"compact": func(t *rapid.T) { c.compact(c.member(t)) },
		"restart": func(t *rapid.T) { c.restart(c.member(t)) },
		"learn": func(t *rapid.T) {
			m, peer := c.member(t), c.member(t)
			mine, _ := m.ticketLog.holder.current()
			theirs, _ := peer.ticketLog.holder.current()
			batch, err := theirs.batchAfter(mine.state.Applied())
			require.NoError(t, err)
			decoded, err := batch.decode()
			require.NoError(t, err)
			_ = m.ticketLog.holder.update(func(j journal) (journal, error) { return j.withBatch(decoded) })
		},
	}
}

// runProposal executes steps of a member's proposal until it has ended.
func (c *cell) runProposal(t require.TestingT, m *member) {
	for range 100 {
		if m.proposal == nil {
			return
		}
		c.advance(t, m)
	}
	require.Nil(t, m.proposal, "a proposal does not end although the store responds")
}

func (c *cell) compact(m *member) {
	current, _ := m.ticketLog.holder.current()
	if current.checkpoint.Applied() == 0 {
		return
	}
	compact := &compacter{ticketLog: m.ticketLog, nonce: func() string { return "c" }, random: rand.New(rand.NewPCG(1, 1))}
	_ = compact.compact(c.ctx, current)
}

// TestTicketsAreNeverLostOrReverted guards against an accepted ticket that is lost, accepted under two numbers or
// reverted, and against instances whose states differ after the same number. It runs random interleavings of the steps
// of three instances with lost responses, late writes, outages, restarts, compaction and stale peers.
func TestTicketsAreNeverLostOrReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(3)
		t.Repeat(c.actions())
		for _, m := range c.members {
			c.runProposal(t, m)
		}
		c.checkLog(t)
		for _, m := range c.members {
			_, err := m.ticketLog.resync(c.ctx)
			require.NoError(t, err)
			current, _ := m.ticketLog.holder.current()
			require.Equal(t, int64(len(c.store.log)), current.state.Applied(), "an accepted ticket is missing")
		}
		c.check(t)
	})
}
