package server

import (
	"hash/fnv"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/lister"
)

// fixedMembership divides the slots of a zone between the instances of the instance list. It is safe only while the
// list does not change.
type fixedMembership struct {
	self describer.Instance
}

// MayStart implements Membership.
func (m fixedMembership) MayStart(time.Time) bool {
	return true
}

// shares returns the shares of this instance.
func (m fixedMembership) shares(listing lister.Listing, slots, connections int) []dispatcher.Share {
	var members []describer.InstanceID
	for _, instance := range listing.Instances {
		if instance.AvailabilityZone == m.self.AvailabilityZone {
			members = append(members, instance.ID)
		}
	}
	slices.Sort(members)
	position := slices.Index(members, m.self.ID)
	var shares []dispatcher.Share
	for _, server := range listing.BackendServers {
		if position < 0 || server.AvailabilityZone != m.self.AvailabilityZone {
			continue
		}
		owned := ownedSlots(server.ID, slots, position, len(members))
		shares = append(shares, dispatcher.Share{
			BackendServer: server.ID, Slots: owned, Connections: owned * connections / max(slots, 1),
		})
	}
	return shares
}

func ownedSlots(server describer.BackendServerID, slots, position, members int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	owned := 0
	for slot := range slots {
		if (int(hash.Sum32()%1024)+slot)%members == position {
			owned++
		}
	}
	return owned
}
