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

// lesson is what a batch holds after decoding.
type lesson struct {
	// snapshot is nil when the tickets suffice.
	snapshot *ticketer.State
	tickets  []ticketer.Numbered
}

// lesson decodes a batch. This takes a second for the largest snapshots, so it must not be done under a lock.
func (b Batch) lesson() (lesson, error) {
	if len(b.Snapshot) == 0 {
		return lesson{tickets: b.Tickets}, nil
	}
	snapshot, err := decodeSnapshot(b.Snapshot)
	if err != nil {
		return lesson{}, err
	}
	state := snapshot.State()
	return lesson{snapshot: &state, tickets: b.Tickets}, nil
}

// learned returns the journal after what a peer knows.
func (j journal) learned(from lesson) (journal, error) {
	if from.snapshot == nil {
		return j.withAll(from.tickets)
	}
	return j.adopted(*from.snapshot, from.tickets)
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
