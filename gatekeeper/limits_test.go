package gatekeeper

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDefaultsAdmitLegalCallers guards against default limits that callers within the limits of the configuration reach. The smallest
// instance has 144 MB and 3,075 descriptors; 40 instances share 4,000 connections, so that one may get all those of 20.
func TestDefaultsAdmitLegalCallers(t *testing.T) {
	const (
		fullBody    = 256 << 10
		fullHeader  = 16 << 10
		connections = 2000
		requests    = 200
		fullBodies  = 15
	)
	memory := MemoryFor(144 << 20)
	require.GreaterOrEqual(t, ConnectionsFor(3075, memory), connections)
	needed := connections*connectionBytes + requests*(headerCopies*fullHeader+20*headerLineBytes) + fullBodies*bodyCopies*fullBody
	require.GreaterOrEqual(t, memory, int64(needed))
}

// TestConnectionsLeaveDescriptors guards against callers that take the descriptors which the process needs for others, and against
// small limits under which no caller could connect.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	for _, c := range []struct {
		descriptors int
		memory      int64
		want        int
	}{
		{3075, 43 << 20, 2107},
		{4100, 55 << 20, 2875},
		{8192, 500 << 20, 5944},
		{400, 43 << 20, 100},
		{3075, 0, 2107},
		{0, 16 << 20, 1024},
		{0, 0, 0},
	} {
		require.Equal(t, c.want, ConnectionsFor(c.descriptors, c.memory), "%+v", c)
	}
}

// TestMemoryAddsUp guards against limits that together exceed the memory of an instance: what the Go runtime may use and what the
// kernel holds for connections whose data the process has not read.
func TestMemoryAddsUp(t *testing.T) {
	const runtimeShare = 0.6
	for descriptors, megabytes := range map[int]int64{3075: 144, 4100: 184, 8192: 536, 800: 80} {
		memory := megabytes << 20
		connections := ConnectionsFor(descriptors, MemoryFor(memory))
		kernel := int64(kernelFactor * connections * ReceiveBufferFor(memory, connections))
		require.LessOrEqual(t, kernel, int64((1-runtimeShare)*float64(memory)), megabytes)
		require.LessOrEqual(t, MemoryFor(memory), int64(runtimeShare*float64(memory)/2), megabytes)
	}
}

// TestShapeCountsOutsideStrings guards against texts in strings that count as objects, so that a legal job is refused.
func TestShapeCountsOutsideStrings(t *testing.T) {
	for text, want := range map[string]Shape{
		`{"spec":"{,{,\"{,","steps":[{},{}]}`: {Objects: 3, Elements: 2},
		`{"a":"\\"},{`:                        {Objects: 2, Elements: 1},
		`{"a":"\`:                             {Objects: 1},
		``:                                    {},
	} {
		require.Equal(t, want, ShapeOf([]byte(text)), text)
	}
}
