package assigner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// PositionCount is the number of positions of an assignment, the units in which slots are assigned to members. It does
// not depend on the number of members, so that a change of the membership moves no more positions than necessary. It
// bounds the number of members of a zone; with seven members the shares differ by at most one position in nine.
const PositionCount = 64

// MaxHoldings limits the earlier holdings in a record: while there are this many, no further instance joins. A record
// of this size has about 50 KB.
const MaxHoldings = 4 * PositionCount

// Owner identifies one incarnation of an instance.
type Owner struct {
	Instance    describer.InstanceID
	Incarnation describer.Incarnation
}

// Member is an owner that is registered in an assignment.
type Member struct {
	Owner
	Address string
	// Joined is the epoch in which the owner became a member. The member takes part in no hold agreement of an earlier
	// epoch.
	Joined describer.Epoch
}

// Holding records that a position was reassigned and that its earlier holder may still use it.
type Holding struct {
	Position int
	Owner    Owner
	// Until is the first epoch in which the owner does not hold the position.
	Until describer.Epoch
	// Stopped is true when the owner has lost its right to start work, because it left or was taken over.
	Stopped bool
	// Since is when the writer of the record determined that the owner had stopped.
	Since time.Time `json:",omitzero"`
}

// Assignment is the value of Zones/<zone>/Assignment.
type Assignment struct {
	Epoch   describer.Epoch
	Members []Member
	// Positions has PositionCount entries; a position without a holder has the zero Owner.
	Positions []Owner
	// Previous lists the earlier holdings that were not known to be released when the record was written.
	Previous []Holding `json:",omitempty"`
	// WriteID is the nonce of the write; a writer that received no response recognises its own write by it.
	WriteID string
}

// Has reports whether the owner is a member.
func (a Assignment) Has(owner Owner) bool {
	_, ok := a.member(owner)
	return ok
}

// PlacingMember returns the holder of position 0, which places the zone's tasks.
func (a Assignment) PlacingMember() (Owner, bool) {
	if len(a.Positions) == 0 || a.Positions[0] == (Owner{}) {
		return Owner{}, false
	}
	return a.Positions[0], true
}

// WithWriteID returns a copy with another nonce.
func (a Assignment) WithWriteID(id string) Assignment {
	a.WriteID = id
	return a
}

func (a Assignment) member(owner Owner) (Member, bool) {
	for _, member := range a.Members {
		if member.Owner == owner {
			return member, true
		}
	}
	return Member{}, false
}

func (a Assignment) memberOf(instance describer.InstanceID) (Member, bool) {
	for _, member := range a.Members {
		if member.Instance == instance {
			return member, true
		}
	}
	return Member{}, false
}

// owns returns the slots of a backend server that belong to the owner.
func (a Assignment) owns(owner Owner, server Server) SlotSet {
	var owned SlotSet
	if len(a.Positions) == 0 {
		return owned
	}
	base := PositionOf(server.ID, 0)
	for slot := range server.slotCount() {
		if a.Positions[(base+slot)%PositionCount] == owner {
			owned = owned.With(slot)
		}
	}
	return owned
}

// withMember returns the next epoch with one more member.
func (a Assignment) withMember(member Member, now time.Time) Assignment {
	member.Joined = a.Epoch + 1
	members := append(slices.Clone(a.Members), member)
	return a.next(members, a.positions(), now)
}

// withReplacement returns the next epoch, in which a new member has the positions of the replaced one.
func (a Assignment) withReplacement(replaced Owner, member Member, now time.Time) Assignment {
	member.Joined = a.Epoch + 1
	members := slices.Clone(a.Members)
	for i := range members {
		if members[i].Owner == replaced {
			members[i] = member
		}
	}
	positions := a.positions()
	for i := range positions {
		if positions[i] == replaced {
			positions[i] = member.Owner
		}
	}
	return a.next(members, positions, now)
}

// without returns the next epoch without the given members; their positions go to the others.
func (a Assignment) without(removed []Owner, now time.Time) Assignment {
	members := slices.DeleteFunc(slices.Clone(a.Members), func(member Member) bool {
		return slices.Contains(removed, member.Owner)
	})
	return a.next(members, a.positions(), now)
}

// refreshed returns the next epoch with the same positions.
func (a Assignment) refreshed(now time.Time) Assignment {
	return a.next(slices.Clone(a.Members), a.positions(), now)
}

// withPrevious returns the same epoch with another list of earlier holdings.
func (a Assignment) withPrevious(previous []Holding) Assignment {
	a.Previous = previous
	return a
}

func (a Assignment) positions() []Owner {
	if len(a.Positions) == 0 {
		return make([]Owner, PositionCount)
	}
	return slices.Clone(a.Positions)
}

func (a Assignment) next(members []Member, positions []Owner, now time.Time) Assignment {
	next := Assignment{Epoch: a.Epoch + 1, Members: members, Positions: balance(positions, members)}
	next.Previous = slices.Clone(a.Previous)
	for i, owner := range a.Positions {
		if owner != (Owner{}) && owner != next.Positions[i] {
			next.Previous = withoutHolding(next.Previous, i, owner)
			next.Previous = append(next.Previous, Holding{Position: i, Owner: owner, Until: next.Epoch})
		}
	}
	for i, owner := range next.Positions {
		next.Previous = withoutHolding(next.Previous, i, owner)
	}
	for i, holding := range next.Previous {
		if !holding.Stopped && !next.Has(holding.Owner) {
			next.Previous[i].Stopped = true
			next.Previous[i].Since = now.Round(0).UTC()
		}
	}
	return next
}

// withoutHolding removes the earlier holding of an owner, which a later holding of the same position supersedes.
func withoutHolding(holdings []Holding, position int, owner Owner) []Holding {
	return slices.DeleteFunc(holdings, func(holding Holding) bool {
		return holding.Position == position && holding.Owner == owner
	})
}
