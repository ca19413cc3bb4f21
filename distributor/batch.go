package distributor

import (
	"context"

	"egretring.example/egretring/ticketer"
)

// Batch is what a peer knows after a ticket number.
type Batch struct {
	// Snapshot is set when the peer no longer has all tickets after the number. It is compressed JSON.
	Snapshot []byte
	// Tickets are contiguous. With a snapshot they may begin before it.
	Tickets []ticketer.Numbered
}

// PeerSource is an entry instance that tickets are fetched from.
type PeerSource interface {
	// Tickets returns what the peer knows after a ticket number. A peer that is not ready returns an error.
	Tickets(ctx context.Context, after int64) (Batch, error)
}

// batchAfter returns what the journal knows after a number.
func (j journal) batchAfter(number int64) (Batch, error) {
	if number+1 >= j.oldest() {
		return Batch{Tickets: j.after(number)}, nil
	}
	snapshot, err := encodeSnapshot(j.mark.Snapshot())
	return Batch{Snapshot: snapshot, Tickets: j.tickets}, err
}

// learned returns the journal after a batch of a peer or of the store.
func (j journal) learned(batch Batch) (journal, error) {
	if len(batch.Snapshot) == 0 {
		return j.withAll(batch.Tickets)
	}
	snapshot, err := decodeSnapshot(batch.Snapshot)
	if err != nil {
		return j, err
	}
	return j.adopted(snapshot.State(), batch.Tickets)
}

// sequence returns the highest run of tickets in which each one follows the one before. A ticket that was written
// under a compacted number does not belong to it.
func sequence(tickets []ticketer.Numbered) []ticketer.Numbered {
	if len(tickets) == 0 {
		return nil
	}
	first := len(tickets) - 1
	for first > 0 && follows(tickets[first], tickets[first-1]) {
		first--
	}
	return tickets[first:]
}

func follows(later, earlier ticketer.Numbered) bool {
	return later.Number == earlier.Number+1 && later.Previous == earlier.WriteID
}
