package registrar_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// TestTwoInstancesJoin guards against members that do not receive each other's load and applied ticket.
func TestTwoInstancesJoin(t *testing.T) {
	run(t, 2, func(z *zone) {
		first := z.all[0]
		require.Len(t, first.Assignment().Members, 2)
		require.Equal(t, []dispatcher.PeerLoad{
			{Instance: "entry-1", AvailabilityZone: "hala-a", SameZone: true, FreeSlots: 11},
		}, first.PeerLoads().Loads)
		require.Equal(t, []registrar.PeerTicket{
			{Instance: "entry-1", AvailabilityZone: "hala-a", Address: "address-1", AppliedTicket: 101},
		}, first.PeerTickets())
	})
}

// TestInstanceFails guards against slots that stay unused after their owner has failed, with and without refused
// connections, and against a replacement that cannot join.
func TestInstanceFails(t *testing.T) {
	for name, unreachable := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(z *zone) {
				z.all[1].fail(unreachable)
				z.advance(20*time.Second, 0)
				z.advance(time.Second, serverSlots)
				z.start(1, 2)
				z.advance(settleTime, 0)
				z.advance(time.Second, serverSlots)
				require.Len(t, z.all[0].Assignment().Members, 2)
			})
		})
	}
}

// TestInstancePauses guards against an owner that starts work after its slots were taken over during a pause.
func TestInstancePauses(t *testing.T) {
	run(t, 3, func(z *zone) {
		z.all[1].pause()
		z.advance(20*time.Second, 0)
		require.False(t, z.all[1].MayStart())
		z.advance(time.Second, serverSlots)
		z.all[1].resume()
		z.advance(20*time.Second, 0)
		require.True(t, z.all[1].MayStart())
		z.advance(time.Second, serverSlots)
	})
}

// TestStoreOutage guards against a zone that stops serving while the store is down or slow, and against a zone that
// does not recover afterwards.
func TestStoreOutage(t *testing.T) {
	for name, faults := range map[string]fakekeeper.Faults{
		"down": {Down: true}, "slow": {Delay: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for _, instances := range []int{1, 3} {
				run(t, instances, func(z *zone) {
					z.store.SetFaults(faults)
					z.advance(2*time.Minute, serverSlots)
					z.store.SetFaults(fakekeeper.Faults{LoseWriteResponses: 2})
					z.advance(20*time.Second, serverSlots)
					if instances == 1 {
						return
					}
					z.all[2].fail(true)
					z.advance(20*time.Second, 0)
					z.advance(time.Second, serverSlots)
				})
			}
		})
	}
}

// TestGracefulLeave guards against a leaving instance that stops before its work has ended, and against slots of a
// leaving instance that are not handed over within seconds.
func TestGracefulLeave(t *testing.T) {
	run(t, 2, func(z *zone) {
		leaver := z.all[1]
		leaver.setBusy("backend-0", 1)
		left := make(chan error, 1)
		go func() { left <- leaver.Leave(z.t.Context()) }()
		z.advance(2*time.Second, 0)
		z.advance(10*time.Second, serverSlots)
		require.Empty(t, left, "work is left on backend-0")
		require.False(t, leaver.MayStart())
		leaver.setBusy("backend-0", 0)
		z.advance(2*time.Second, 0)
		require.NoError(t, <-left)
		z.advance(time.Second, serverSlots)
		require.Len(t, z.all[0].Assignment().Members, 1)
	})
}

// TestLeaveDuringOutage guards against a leaving instance that waits for the store beyond its deadline, and against
// peers that lose their right to start work because of it or never take over its slots.
func TestLeaveDuringOutage(t *testing.T) {
	run(t, 3, func(z *zone) {
		z.store.SetFaults(fakekeeper.Faults{Down: true})
		z.advance(20*time.Second, serverSlots)
		ctx, cancel := context.WithTimeout(z.t.Context(), 3*time.Second)
		defer cancel()
		require.ErrorIs(z.t, z.all[2].Leave(ctx), context.DeadlineExceeded)
		z.all[2].fail(false)
		z.advance(time.Minute, 0)
		require.True(z.t, z.all[0].MayStart())
		require.True(z.t, z.all[1].MayStart())
		z.store.SetFaults(fakekeeper.Faults{})
		z.advance(5*time.Second, 0)
		z.advance(time.Second, serverSlots)
	})
}
