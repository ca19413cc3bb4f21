package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// TestGangGetsReservation guards against a gang job that starves under a steady stream of small work, and against
// small work that is kept out although it ends before the reservation starts.
func TestGangGetsReservation(t *testing.T) {
	c := newCell(t, zone(4))
	small := job("small", describer.BatchJob, describer.Standard, 16, size(2, 1))
	small.ExpectedSeconds = 10
	c.submit(small)
	c.submit(job("gang", describer.GangJob, describer.Standard, 4, size(8, 8)))
	ends := make(map[describer.TaskID]time.Time)
	next := 100
	backfilled := 0
	for second := 0; second < 60 && c.placed("gang") == 0; second++ {
		for id, at := range ends {
			if !c.now.Before(at) {
				delete(ends, id)
				c.release(id, true)
				c.handle(placer.TasksSubmitted{Job: small, Indices: []int{next}})
				next++
			}
		}
		c.wait(time.Second)
		for id := range c.places {
			if _, known := ends[id]; !known {
				ends[id] = c.now.Add(time.Duration(4+id.Index%7) * time.Second)
				if second > 2 {
					backfilled++
				}
			}
		}
	}
	require.Equal(t, 4, c.placed("gang"))
	require.Positive(t, backfilled)
}

// TestOverrunsDelayGangLittle guards against a gang job that starves because tasks run longer than declared and the room
// of each task that ends is given away again.
func TestOverrunsDelayGangLittle(t *testing.T) {
	c := newCell(t, zone(4))
	small := job("small", describer.BatchJob, describer.Standard, 60, size(1, 1))
	small.ExpectedSeconds = 5
	c.submit(small)
	next := small.Tasks
	ends := make(map[describer.TaskID]time.Time)
	submitted := false
	for range 300 {
		c.wait(100 * time.Millisecond)
		for id := range c.places {
			if _, known := ends[id]; !known && id.Job == "small" {
				runTime := 4 * time.Second
				if id.Index%8 == 0 {
					runTime = time.Hour
				}
				ends[id] = c.now.Add(runTime + time.Duration(id.Index%10)*100*time.Millisecond)
			}
		}
		for id, at := range ends {
			if _, left := c.evicted[id]; left || !c.now.Before(at) {
				delete(ends, id)
				delete(c.evicted, id)
				c.release(id, !left)
				c.handle(placer.TasksSubmitted{Job: small, Indices: []int{next}})
				next++
			}
		}
		if !submitted && c.now.Sub(start) > 6*time.Second {
			submitted = true
			c.submit(job("gang", describer.GangJob, describer.Standard, 4, size(4, 4)))
		}
	}
	require.Equal(t, 4, c.placed("gang"))
}
