package assigner

import (
	"hash/fnv"
	"math/bits"

	"egretring.example/egretring/describer"
)

// MaxSlots is the largest number of slots of a backend server that can be owned; further slots stay unused.
const MaxSlots = 64

// SlotSet is a set of slots of one backend server; bit j stands for slot j.
type SlotSet uint64

// With returns the set with one more slot.
func (s SlotSet) With(slot int) SlotSet {
	return s | 1<<slot
}

// Has reports whether the set contains a slot.
func (s SlotSet) Has(slot int) bool {
	return s&(1<<slot) != 0
}

// Len returns the number of slots.
func (s SlotSet) Len() int {
	return bits.OnesCount64(uint64(s))
}

// first returns the lowest slots of the set, at most count.
func (s SlotSet) first(count int) SlotSet {
	var lowest SlotSet
	for ; count > 0 && s != 0; count-- {
		slot := s & -s
		lowest |= slot
		s &^= slot
	}
	return lowest
}

// Server is a backend server with its number of slots and connections.
type Server struct {
	ID          describer.BackendServerID
	Slots       int
	Connections int
}

func (s Server) slotCount() int {
	return min(s.Slots, MaxSlots)
}

// ServerSlots is a set of slots of one backend server.
type ServerSlots struct {
	BackendServer describer.BackendServerID
	Slots         SlotSet
}

// Share is what a member may use of one backend server.
type Share struct {
	BackendServer describer.BackendServerID
	Slots         int
	Connections   int
}

// PositionOf returns the position to which a slot of a backend server belongs.
func PositionOf(server describer.BackendServerID, slot int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	return (int(hash.Sum32()%PositionCount) + slot) % PositionCount
}
