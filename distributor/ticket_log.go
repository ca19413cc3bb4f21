package distributor

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// ticketLog is the log of accepted tickets in the store together with the local journal. It executes the steps of
// proposals against the store and reads tickets from the store into the journal.
type ticketLog struct {
	store  *monitor
	holder *holder
}

// execute executes one step and reports its result to the proposal. After an error the caller has to wait and plan
// again.
func (l *ticketLog) execute(ctx context.Context, p *proposal, next step) error {
	switch next.phase {
	case writing:
		return l.write(ctx, p, next.record)
	case reading:
		return l.read(ctx, p, next.record.Number)
	case verifying:
		return l.verify(ctx, p, next.record)
	case removing:
		return l.remove(ctx, p, next.record)
	default:
		return l.sync(ctx, p)
	}
}

func (l *ticketLog) write(ctx context.Context, p *proposal, record ticketer.AcceptedTicket) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	err = l.store.create(ctx, ticketKey(record.Number), value)
	p.wrote(err)
	if keeper.IsErrConflict(err) {
		return nil
	}
	return err
}

func (l *ticketLog) read(ctx context.Context, p *proposal, number int64) error {
	record, inSequence, err := l.fetch(ctx, number)
	if err != nil {
		return err
	}
	if inSequence && record.WriteID != p.writeID {
		if err := l.holder.update(func(j journal) (journal, error) { return j.with(record) }); err != nil {
			inSequence = false
		}
	}
	p.found(record.WriteID, inSequence)
	return nil
}

func (l *ticketLog) verify(ctx context.Context, p *proposal, record ticketer.AcceptedTicket) error {
	inSequence, err := l.follows(ctx, record)
	if err != nil {
		return err
	}
	if inSequence {
		err := l.holder.update(func(j journal) (journal, error) { return j.with(record) })
		inSequence = err == nil
	}
	p.verified(inSequence)
	return nil
}

func (l *ticketLog) remove(ctx context.Context, p *proposal, record ticketer.AcceptedTicket) error {
	entry, err := l.store.get(ctx, ticketKey(record.Number))
	if err != nil {
		return err
	}
	if found, err := decodeTicket(entry); err == nil && found.WriteID == record.WriteID {
		if err := l.store.remove(ctx, entry.Key, entry.Version); err != nil {
			return err
		}
	}
	p.removed()
	return nil
}

func (l *ticketLog) sync(ctx context.Context, p *proposal) error {
	if _, err := l.resync(ctx); err != nil {
		return err
	}
	p.resynced()
	return nil
}

// fetch reads one ticket and reports whether it follows the ticket before it. If there is no ticket under the number,
// it returns the zero value.
func (l *ticketLog) fetch(ctx context.Context, number int64) (ticketer.AcceptedTicket, bool, error) {
	entry, err := l.store.get(ctx, ticketKey(number))
	if err != nil || entry.Version == 0 {
		return ticketer.AcceptedTicket{}, false, err
	}
	record, err := decodeTicket(entry)
	if err != nil {
		return ticketer.AcceptedTicket{}, false, err
	}
	inSequence, err := l.follows(ctx, record)
	return record, inSequence, err
}

// follows reports whether the ticket before a record is still in the store and is the one that the record names as
// previous. Tickets are deleted in ascending order, so a record whose predecessor is missing was written under the
// number of a ticket that had been deleted. The first ticket has no predecessor; for it, the presence of a snapshot
// shows that tickets have been deleted.
func (l *ticketLog) follows(ctx context.Context, record ticketer.AcceptedTicket) (bool, error) {
	if record.Number == 1 {
		page, err := l.store.list(ctx, snapshotsPrefix)
		return len(page.Entries) == 0, err
	}
	entry, err := l.store.get(ctx, ticketKey(record.Number-1))
	if err != nil || entry.Version == 0 {
		return false, err
	}
	previous, err := decodeTicket(entry)
	return err == nil && previous.WriteID == record.Previous, nil
}

// resync reads all tickets and applies them to the journal. If they do not continue the journal, it reads the latest
// snapshot as well. It returns the revision from which a watch has to continue.
func (l *ticketLog) resync(ctx context.Context) (int64, error) {
	page, err := l.store.list(ctx, ticketsPrefix)
	if err != nil {
		return 0, err
	}
	tickets := contiguousSuffix(decodeTickets(page.Entries))
	current, _ := l.holder.current()
	if len(tickets) == 0 || tickets[0].Number <= current.state.Applied()+1 {
		err := l.holder.update(func(j journal) (journal, error) { return j.withAll(tickets) })
		if err == nil {
			return page.Revision, nil
		}
	}
	return page.Revision, l.loadSnapshot(ctx, tickets)
}

// loadSnapshot applies the latest snapshot in the store and the tickets around it to the journal.
func (l *ticketLog) loadSnapshot(ctx context.Context, tickets []ticketer.AcceptedTicket) error {
	page, err := l.store.list(ctx, snapshotsPrefix)
	if err != nil {
		return err
	}
	snapshot, ok := latestSnapshot(page.Entries)
	if !ok {
		return errors.Errorf("store has tickets starting with %d, but no complete snapshot before them", firstNumber(tickets))
	}
	state := snapshot.State()
	return l.holder.update(func(j journal) (journal, error) { return j.withSnapshot(state, tickets) })
}

func firstNumber(tickets []ticketer.AcceptedTicket) int64 {
	if len(tickets) == 0 {
		return 0
	}
	return tickets[0].Number
}

// decodeTicket decodes a stored ticket and checks that its number is that of its key.
func decodeTicket(entry keeper.Entry) (ticketer.AcceptedTicket, error) {
	var record ticketer.AcceptedTicket
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, errors.Wrapf(err, "decode ticket in key %q", entry.Key)
	}
	if number, ok := ticketNumber(entry.Key); !ok || number != record.Number {
		return record, errors.Errorf("key %q holds ticket %d", entry.Key, record.Number)
	}
	return record, nil
}

// decodeTickets decodes stored tickets. It leaves out entries that are no valid tickets; contiguousSuffix then begins
// after them.
func decodeTickets(entries []keeper.Entry) []ticketer.AcceptedTicket {
	tickets := make([]ticketer.AcceptedTicket, 0, len(entries))
	for _, entry := range entries {
		if record, err := decodeTicket(entry); err == nil {
			tickets = append(tickets, record)
		}
	}
	return tickets
}
