package conductor_test

import (
	"cmp"
	"fmt"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

func compareIDs(a, b specifier.ServerID) int {
	return cmp.Compare(a, b)
}

// homeOf returns the shard of a server that is not transferred.
func (w *simulation) homeOf(server specifier.Server) int {
	var number int
	if _, err := fmt.Sscanf(string(server.ID), "i-%d", &number); err != nil {
		w.t.Fatalf("server %s has no number: %v", server.ID, err)
	}
	return number % len(w.owners)
}

// borrow asks the owners of all other shards for an equal part of the wanted servers.
func (w *simulation) borrow(c conductor.Borrow) {
	others := len(w.owners) - 1
	wanted := c.Wanted
	wanted.Tasks = (wanted.Tasks + others - 1) / others
	for _, o := range w.owners {
		if o.shard != wanted.Shard {
			epoch := o.epoch
			w.after(linkDelay, func() { w.deliver(epoch, wanted) })
		}
	}
}

// move transfers servers if both owners are still in office and nothing else has moved the servers.
func (w *simulation) move(epoch int64, c conductor.Move) {
	w.after(commitDelay, func() {
		if w.now.Before(w.storeDownUntil) {
			w.at(w.storeDownUntil, func() { w.move(epoch, c) })
			return
		}
		target := w.owners[c.To[0].Shard].epoch
		if w.ownerIn(epoch) == nil {
			return
		}
		valid := target != 0 && (c.To[0].Epoch == 0 || c.To[0].Epoch == target)
		for _, from := range c.From {
			valid = valid && w.transfers[from.Server].Revision == from.Revision
		}
		var current []conductor.Transfer
		revision := w.nextRevision()
		for i, from := range c.From {
			if valid {
				to := c.To[i]
				to.Epoch, to.Revision = target, revision
				w.transfers[from.Server] = to
			}
			now, moved := w.transfers[from.Server]
			if !moved {
				now = conductor.Transfer{Server: from.Server, Shard: from.Home, Home: from.Home}
			}
			current = append(current, now)
		}
		w.deliver(epoch, conductor.Moved{Number: c.Number, Transfers: current})
	})
}
