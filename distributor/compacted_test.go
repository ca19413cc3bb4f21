package distributor

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// newCompactedCell returns a cell in which members 0 and 1 have applied no ticket, while member 2 has written 20
// tickets and compacted those up to number 14.
func newCompactedCell(t *testing.T) *cell {
	c := newCell(3)
	for i := range 20 {
		c.propose(c.members[2], limitTicket(fmt.Sprintf("t%d", i), int64(i), i, "red"))
		c.runProposal(t, c.members[2])
		c.check(t)
	}
	c.compact(c.members[2])
	return c
}

// applyUpTo applies the accepted tickets up to a number to the journal of a member.
func (c *cell) applyUpTo(t *testing.T, m *member, number int64) {
	for _, record := range c.store.log[:number] {
		require.NoError(t, m.ticketLog.holder.update(func(j journal) (journal, error) { return j.with(record) }))
	}
}

// TestCompactedNumberIsNotAccepted guards against two failures after an instance was paused, during which tickets were
// compacted: the instance writes its ticket under the number of a compacted ticket and reports it as accepted, or
// another instance applies such a ticket when it reads it singly or in a list. The numbers are the first one, one in
// the middle and the last compacted one.
func TestCompactedNumberIsNotAccepted(t *testing.T) {
	for _, number := range []int64{1, 7, 14} {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			c := newCompactedCell(t)
			writer, reader := c.members[0], c.members[1]
			c.applyUpTo(t, writer, number-1)
			c.applyUpTo(t, reader, number-1)
			c.propose(writer, limitTicket("late", number-1, 9, "blue"))
			c.advance(t, writer)
			require.Equal(t, verifying, writer.proposal.phase, "the store has accepted the compacted number")

			c.propose(reader, limitTicket("other", number-1, 9, "green"))
			c.advance(t, reader)
			c.advance(t, reader)
			c.check(t)
			_, err := reader.ticketLog.resync(c.ctx)
			require.NoError(t, err)
			c.check(t)
			c.runProposal(t, reader)
			c.runProposal(t, writer)
			c.check(t)
			c.checkLog(t)
		})
	}
}

// TestContiguousSuffix guards against using tickets of a list that do not lead to the last one: tickets before a gap,
// or a ticket written under a compacted number directly before the oldest ticket that is kept.
func TestContiguousSuffix(t *testing.T) {
	record := func(number int64, writeID, previous string) ticketer.AcceptedTicket {
		return ticketer.AcceptedTicket{Number: number, WriteID: writeID, Previous: previous}
	}
	kept := []ticketer.AcceptedTicket{record(5, "e", "d"), record(6, "f", "e")}
	require.Empty(t, contiguousSuffix(nil))
	require.Equal(t, kept, contiguousSuffix(kept))
	require.Equal(t, kept, contiguousSuffix(append([]ticketer.AcceptedTicket{record(3, "c", "b")}, kept...)))
	require.Equal(t, kept, contiguousSuffix(append([]ticketer.AcceptedTicket{record(4, "late", "c")}, kept...)))
}

// TestForkedTicketsAreNotApplied guards against putting a wrong ticket in force when the next ticket of the same update
// shows the fork.
func TestForkedTicketsAreNotApplied(t *testing.T) {
	h := newHolder(defaultRetention)
	tickets := []ticketer.AcceptedTicket{{Number: 1, WriteID: "late"}, {Number: 2, WriteID: "b", Previous: "a"}}
	err := h.update(func(j journal) (journal, error) { return j.withAll(tickets) })
	require.True(t, ticketer.IsErrFork(err))
	current, _ := h.current()
	require.Zero(t, current.state.Applied())
}

// TestLostResponseIsResolvedByWriteID guards against a ticket that, after the response to its write was lost, is
// written again under another number or never reported as accepted.
func TestLostResponseIsResolvedByWriteID(t *testing.T) {
	c := newCell(1)
	m := c.members[0]
	c.propose(m, limitTicket("a", 0, 1, "red"))
	c.store.SetFaults(fakekeeper.Faults{LoseWriteResponses: 1})
	c.runProposal(t, m)
	require.Equal(t, int64(1), c.accepted["a"])
	require.Len(t, c.store.log, 1)
}

// TestWriteWithoutResponseIsRead guards against a write with an unknown outcome that is repeated, or treated as
// refused, before it was read which record is stored under the number.
func TestWriteWithoutResponseIsRead(t *testing.T) {
	for _, err := range []error{keeper.ErrUnavailable, errors.New("connection reset")} {
		p := &proposal{ticket: limitTicket("a", 0, 1, "red"), writeID: "w"}
		j := journal{retention: defaultRetention}
		require.Equal(t, writing, p.plan(j, time.Time{}).phase)
		p.wrote(err)
		require.Equal(t, reading, p.plan(j, time.Time{}).phase)
		p.found("", false)
		require.Equal(t, writing, p.plan(j, time.Time{}).phase)
	}
}
