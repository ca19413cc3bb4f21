package distributor

import (
	"context"

	"egretring.example/egretring/ticketer"
)

// Batch is the response of a peer to a request for the tickets after a number.
type Batch struct {
	// Snapshot is set when the peer no longer keeps all tickets after the number. It is compressed JSON.
	Snapshot []byte
	// Tickets are contiguous. With a snapshot, the first ones may already be contained in it.
	Tickets []ticketer.AcceptedTicket
}

// PeerSource is another entry instance from which tickets are fetched.
type PeerSource interface {
	// Tickets returns the tickets after a number that the peer has applied. A peer that is not ready returns an error.
	Tickets(ctx context.Context, after int64) (Batch, error)
}

// batchAfter returns the tickets after a number, with a snapshot if the journal no longer holds all of them.
func (j journal) batchAfter(number int64) (Batch, error) {
	if number+1 >= j.oldest() {
		return Batch{Tickets: j.after(number)}, nil
	}
	snapshot, err := encodeSnapshot(j.checkpoint.Snapshot())
	return Batch{Snapshot: snapshot, Tickets: j.tickets}, err
}

// decodedBatch is a batch whose snapshot has been decoded.
type decodedBatch struct {
	// snapshot is nil if the batch has no snapshot, because the tickets suffice.
	snapshot *ticketer.State
	tickets  []ticketer.AcceptedTicket
}

// decode decodes the snapshot of a batch. This takes a second for the largest snapshots, so decode must not be called
// with a lock held.
func (b Batch) decode() (decodedBatch, error) {
	if len(b.Snapshot) == 0 {
		return decodedBatch{tickets: b.Tickets}, nil
	}
	snapshot, err := decodeSnapshot(b.Snapshot)
	if err != nil {
		return decodedBatch{}, err
	}
	state := snapshot.State()
	return decodedBatch{snapshot: &state, tickets: b.Tickets}, nil
}

// withBatch returns the journal after the tickets and the snapshot of a peer's batch.
func (j journal) withBatch(from decodedBatch) (journal, error) {
	if from.snapshot == nil {
		return j.withAll(from.tickets)
	}
	return j.withSnapshot(*from.snapshot, from.tickets)
}

// contiguousSuffix returns the longest suffix of a list in which each ticket follows the one before. It leaves out a
// ticket that was written under the number of a ticket that had been compacted, because no later ticket names its
// WriteID as the previous one.
func contiguousSuffix(tickets []ticketer.AcceptedTicket) []ticketer.AcceptedTicket {
	if len(tickets) == 0 {
		return nil
	}
	first := len(tickets) - 1
	for first > 0 && follows(tickets[first], tickets[first-1]) {
		first--
	}
	return tickets[first:]
}

// follows reports whether the later ticket has the next number and was written as the successor of the earlier one.
func follows(later, earlier ticketer.AcceptedTicket) bool {
	return later.Number == earlier.Number+1 && later.Previous == earlier.WriteID
}
