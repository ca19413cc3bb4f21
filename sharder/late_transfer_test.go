package sharder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/specifier"
)

// TestLateTransfersAreReturned guards against servers that stay lent because the lender's transactions take effect when the
// borrower no longer asks for servers.
func TestLateTransfersAreReturned(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		c.refuseTransfers(true)
		require.NoError(t, c.submitSteps(0, "/q/", wideGang, fullServerGang(151)))
		time.Sleep(1600 * time.Millisecond)
		// With two more servers in each shard the gang fits its own.
		c.addServers(4)
		time.Sleep(7500 * time.Millisecond)
		c.requireCompleted(wideGang)
		c.refuseTransfers(false)
		time.Sleep(2 * time.Minute)
		require.NotEmpty(t, c.store.Keys(coordinator.TransferPrefix), "servers were lent late")
		c.requireServersAtHome()
		c.requireNoViolation()
	})
}

// TestServersAreListedWithoutTransfers guards against an owner that keeps an old list of servers while it cannot read the
// transfers.
func TestServersAreListedWithoutTransfers(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		for _, link := range c.links {
			link.refusesTransferReads.Store(true)
		}
		time.Sleep(4 * time.Second)
		labelled := slices.Clone(c.listed)
		for i := range labelled {
			labelled[i].Labels = []string{"x"}
		}
		c.setListed(labelled)
		step := specifier.Step{Count: 2, Need: specifier.Resources{MilliCores: 1000}, RequiredLabel: "x", Estimate: runTime}
		require.NoError(t, c.submitSteps(0, "/q/", "a", step))
		time.Sleep(3 * time.Second)
		c.requireCompleted("a")
	})
}

func (c *cell) refuseTransfers(refused bool) {
	for _, link := range c.links {
		link.refusesTransfers.Store(refused)
	}
}

func (c *cell) addServers(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := slices.Clone(c.listed)
	for i := len(listed); len(listed) < len(c.listed)+count; i++ {
		id := specifier.ServerID(fmt.Sprintf("i-%d", i))
		c.servers[id] = newFakeServer()
		listed = append(listed, specifier.Server{
			ID: id, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Incarnation: 1,
			Capacity: specifier.Resources{MilliCores: 64000},
		})
	}
	c.listed = listed
}
