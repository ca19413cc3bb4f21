package distributor

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// session executes the steps of proposals and reads tickets from the store.
type session struct {
	store  *monitor
	holder *holder
}

// execute runs one step. An error means that the step is to be planned and tried again later.
func (s *session) execute(ctx context.Context, p *proposal, next step) error {
	switch next.phase {
	case writing:
		return s.write(ctx, p, next.record)
	case reading:
		return s.read(ctx, p, next.record.Number)
	case verifying:
		return s.verify(ctx, p, next.record)
	case removing:
		return s.remove(ctx, p, next.record)
	default:
		return s.sync(ctx, p)
	}
}

func (s *session) write(ctx context.Context, p *proposal, record ticketer.Numbered) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	err = s.store.create(ctx, ticketKey(record.Number), value)
	p.wrote(err)
	if keeper.IsErrConflict(err) {
		return nil
	}
	return err
}

func (s *session) read(ctx context.Context, p *proposal, number int64) error {
	record, genuine, err := s.fetch(ctx, number)
	if err != nil {
		return err
	}
	if genuine && record.WriteID != p.writeID {
		if err := s.holder.update(func(j journal) (journal, error) { return j.with(record) }); err != nil {
			genuine = false
		}
	}
	p.found(record.WriteID, genuine)
	return nil
}

func (s *session) verify(ctx context.Context, p *proposal, record ticketer.Numbered) error {
	genuine, err := s.follows(ctx, record)
	if err != nil {
		return err
	}
	if genuine {
		err := s.holder.update(func(j journal) (journal, error) { return j.with(record) })
		genuine = err == nil
	}
	p.verified(genuine)
	return nil
}

func (s *session) remove(ctx context.Context, p *proposal, record ticketer.Numbered) error {
	entry, err := s.store.get(ctx, ticketKey(record.Number))
	if err != nil {
		return err
	}
	if found, err := decodeTicket(entry); err == nil && found.WriteID == record.WriteID {
		if err := s.store.remove(ctx, entry.Key, entry.Version); err != nil {
			return err
		}
	}
	p.removed()
	return nil
}

func (s *session) sync(ctx context.Context, p *proposal) error {
	if _, err := s.resync(ctx); err != nil {
		return err
	}
	p.resynced()
	return nil
}

// fetch reads one ticket and reports whether it belongs to the sequence. A ticket that does not exist is zero.
func (s *session) fetch(ctx context.Context, number int64) (ticketer.Numbered, bool, error) {
	entry, err := s.store.get(ctx, ticketKey(number))
	if err != nil || entry.Version == 0 {
		return ticketer.Numbered{}, false, err
	}
	record, err := decodeTicket(entry)
	if err != nil {
		return ticketer.Numbered{}, false, err
	}
	genuine, err := s.follows(ctx, record)
	return record, genuine, err
}

// follows reports whether the ticket before a record is still in the store. Tickets are deleted in ascending order,
// so a record whose predecessor is gone was written under the number of a ticket that had been deleted.
func (s *session) follows(ctx context.Context, record ticketer.Numbered) (bool, error) {
	if record.Number == 1 {
		page, err := s.store.list(ctx, snapshotsPrefix)
		return len(page.Entries) == 0, err
	}
	entry, err := s.store.get(ctx, ticketKey(record.Number-1))
	if err != nil || entry.Version == 0 {
		return false, err
	}
	previous, err := decodeTicket(entry)
	return err == nil && previous.WriteID == record.Previous, nil
}

// resync reads all tickets and, if they do not continue the journal, the latest snapshot. It returns the revision at
// which a watch continues.
func (s *session) resync(ctx context.Context) (int64, error) {
	page, err := s.store.list(ctx, ticketsPrefix)
	if err != nil {
		return 0, err
	}
	tickets := sequence(decodeTickets(page.Entries))
	current, _ := s.holder.current()
	if len(tickets) == 0 || tickets[0].Number <= current.state.Applied()+1 {
		err := s.holder.update(func(j journal) (journal, error) { return j.withAll(tickets) })
		if err == nil {
			return page.Revision, nil
		}
	}
	return page.Revision, s.adopt(ctx, tickets)
}

func (s *session) adopt(ctx context.Context, tickets []ticketer.Numbered) error {
	page, err := s.store.list(ctx, snapshotsPrefix)
	if err != nil {
		return err
	}
	snapshot, ok := latestSnapshot(page.Entries)
	if !ok {
		return errors.Errorf("store has tickets from %d on, but no complete snapshot before them", firstNumber(tickets))
	}
	state := snapshot.State()
	return s.holder.update(func(j journal) (journal, error) { return j.adopted(state, tickets) })
}

func firstNumber(tickets []ticketer.Numbered) int64 {
	if len(tickets) == 0 {
		return 0
	}
	return tickets[0].Number
}

func decodeTicket(entry keeper.Entry) (ticketer.Numbered, error) {
	var record ticketer.Numbered
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return record, errors.Wrapf(err, "decode ticket in key %q", entry.Key)
	}
	if number, ok := ticketNumber(entry.Key); !ok || number != record.Number {
		return record, errors.Errorf("key %q holds ticket %d", entry.Key, record.Number)
	}
	return record, nil
}

// decodeTickets leaves out entries that are no tickets; sequence then ends before them.
func decodeTickets(entries []keeper.Entry) []ticketer.Numbered {
	tickets := make([]ticketer.Numbered, 0, len(entries))
	for _, entry := range entries {
		if record, err := decodeTicket(entry); err == nil {
			tickets = append(tickets, record)
		}
	}
	return tickets
}
