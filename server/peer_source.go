package server

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"egretring.example/egretring/distributor"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/ticketer"
)

// peerSource fetches tickets from a peer.
type peerSource struct {
	client  *messenger.Client
	address string
}

// Tickets implements distributor.PeerSource.
func (p peerSource) Tickets(ctx context.Context, after int64) (distributor.Batch, error) {
	reply, err := p.client.Tickets(ctx, p.address, messenger.TicketsRequest{After: after})
	if err != nil {
		return distributor.Batch{}, err
	}
	return decodeBatch(reply)
}

func decodeBatch(reply messenger.TicketsReply) (distributor.Batch, error) {
	batch := distributor.Batch{Snapshot: reply.Snapshot}
	for _, ticket := range reply.Tickets {
		var accepted ticketer.AcceptedTicket
		if err := json.Unmarshal(ticket.Content, &accepted); err != nil {
			return batch, errors.Wrapf(err, "decode ticket %d of peer", ticket.Number)
		}
		batch.Tickets = append(batch.Tickets, accepted)
	}
	return batch, nil
}

func encodeBatch(batch distributor.Batch) (messenger.TicketsReply, error) {
	reply := messenger.TicketsReply{Snapshot: batch.Snapshot}
	for _, accepted := range batch.Tickets {
		encoded, err := json.Marshal(accepted)
		if err != nil {
			return reply, errors.Wrapf(err, "encode ticket %d", accepted.Number)
		}
		reply.Tickets = append(reply.Tickets, messenger.Ticket{Number: accepted.Number, Content: encoded})
	}
	return reply, nil
}
