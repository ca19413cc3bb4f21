package queuer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

type item = queuer.Item[int]

func newItem(kind string, class describer.Class, arrived time.Time, run time.Duration) *item {
	return &item{
		Flow: queuer.Flow{Service: "tally", Kind: describer.KindID(kind), Class: class}, Arrived: arrived,
		Expected: run, Work: run,
	}
}

func serve(q *queuer.Queuer[int], now time.Time) *item {
	next := q.Next(now, queuer.PermitAll())
	if next != nil {
		q.Serve(next)
	}
	return next
}

// TestShortWorkPassesLongWork guards against head-of-line blocking by long work, and against long work that is
// starved by short work.
func TestShortWorkPassesLongWork(t *testing.T) {
	q := queuer.New[int]()
	long := newItem("merge", describer.Standard, start, time.Second)
	q.Push(long)
	short := newItem("audit", describer.Standard, start.Add(time.Millisecond), 10*time.Millisecond)
	q.Push(short)
	require.Same(t, short, serve(q, start))
	q.Push(newItem("audit", describer.Standard, start.Add(9*time.Second), 10*time.Millisecond))
	require.Same(t, long, serve(q, start.Add(9*time.Second)))
}

// TestClassesGetTheirShares guards against a class that gets less than its share, or nothing, while work of all classes
// is waiting.
func TestClassesGetTheirShares(t *testing.T) {
	for _, test := range []struct {
		name string
		opts []queuer.Option
		want [describer.ClassCount]int
	}{
		{"weights", []queuer.Option{queuer.WithoutAgeing()}, [describer.ClassCount]int{1639, 410, 51}},
		{"strict", []queuer.Option{queuer.WithoutWeights(), queuer.WithoutAgeing()}, [describer.ClassCount]int{2100, 0, 0}},
		{"strict with ageing", []queuer.Option{queuer.WithoutWeights()}, [describer.ClassCount]int{2058, 21, 21}},
		{"single", []queuer.Option{queuer.WithSingleQueue()}, [describer.ClassCount]int{700, 700, 700}},
	} {
		q := queuer.New[int](test.opts...)
		var served [describer.ClassCount]int
		for i := range 3000 {
			for _, class := range describer.Classes() {
				q.Push(newItem("kind", class, start.Add(time.Duration(i)*time.Millisecond), 10*time.Millisecond))
			}
		}
		for range 2100 {
			served[serve(q, start.Add(5*time.Second)).Flow.Class]++
		}
		for class := range served {
			require.InDelta(t, test.want[class], served[class], 10, "%s %v", test.name, served)
		}
	}
}

// TestPermitSkipsBlockedWork guards against work that may not run and blocks work that may.
func TestPermitSkipsBlockedWork(t *testing.T) {
	q := queuer.New[int]()
	long := newItem("merge", describer.Urgent, start, time.Second)
	long.Group = queuer.Long
	q.Push(long)
	short := newItem("layout", describer.Deferrable, start, 10*time.Millisecond)
	q.Push(short)
	permit := queuer.PermitAll()
	permit[describer.Urgent][queuer.Long] = false
	require.Same(t, short, q.Next(start, permit))
	require.Nil(t, q.Next(start, queuer.Permit{}))
}

// TestBacklogCountsWorkAheadOnly guards against a backlog that includes work served later, omits work served before, or
// counts slots that other classes use.
func TestBacklogCountsWorkAheadOnly(t *testing.T) {
	strict := []queuer.Option{queuer.WithoutWeights()}
	busy := [describer.ClassCount]float64{100, 100, 100}
	for _, test := range []struct {
		name   string
		opts   []queuer.Option
		class  describer.Class
		group  queuer.Group
		demand [describer.ClassCount]float64
		want   queuer.Backlog
	}{
		{"short of a class", nil, describer.Standard, queuer.Short, busy, queuer.Backlog{Work: time.Second, Slots: 4}},
		{"long of a class", nil, describer.Standard, queuer.Long, busy, queuer.Backlog{Work: 11 * time.Second, Slots: 4}},
		{"urgent wants little", nil, describer.Standard, queuer.Short, [3]float64{6, 0, 100}, queuer.Backlog{Work: time.Second, Slots: 12}},
		{"nobody else", nil, describer.Deferrable, queuer.Short, [3]float64{0, 0, 5}, queuer.Backlog{Work: time.Second, Slots: 21}},
		{"others want little", nil, describer.Deferrable, queuer.Short, [3]float64{6, 5, 5}, queuer.Backlog{Work: time.Second, Slots: 10}},
		{"strict", strict, describer.Standard, queuer.Short, [3]float64{6, 100, 100}, queuer.Backlog{Work: time.Second, Slots: 15}},
		{"strict, full", strict, describer.Deferrable, queuer.Short, busy, queuer.Backlog{Work: time.Second, Slots: 1}},
		{"single", []queuer.Option{queuer.WithSingleQueue()}, describer.Urgent, queuer.Short, busy, queuer.Backlog{Work: 33 * time.Second, Slots: 21}},
	} {
		weights := queuer.WithWeights([describer.ClassCount]float64{16, 4, 1})
		q := queuer.New[int](append(test.opts, weights)...)
		for _, class := range describer.Classes() {
			q.Push(newItem("short", class, start, time.Second))
			long := newItem("long", class, start, 10*time.Second)
			long.Group = queuer.Long
			q.Push(long)
		}
		got := q.BacklogOf(test.class, test.group, queuer.SlotDemand{Slots: 21, Demand: test.demand})
		require.Equal(t, test.want.Work, got.Work, test.name)
		require.InDelta(t, test.want.Slots, got.Slots, 1e-9, test.name)
	}
}

// TestBlockedClassDoesNotCatchUp guards against a class that was not permitted for a time and then takes all slots.
func TestBlockedClassDoesNotCatchUp(t *testing.T) {
	q := queuer.New[int]()
	for range 3000 {
		q.Push(newItem("count", describer.Urgent, start, 10*time.Millisecond))
		q.Push(newItem("layout", describer.Deferrable, start, 10*time.Millisecond))
	}
	permit := queuer.PermitAll()
	permit[describer.Deferrable] = [queuer.GroupCount]bool{}
	for range 2000 {
		q.Serve(q.Next(start, permit))
	}
	blocked := 0
	for range 100 {
		if serve(q, start).Flow.Class == describer.Deferrable {
			blocked++
		}
	}
	require.Less(t, blocked, 20)
}

// TestRemoveKeepsOrderAndSums guards against a cancellation that changes the order or the sums of the remaining items.
func TestRemoveKeepsOrderAndSums(t *testing.T) {
	q := queuer.New[int]()
	items := make([]*item, 5)
	for i := range items {
		items[i] = newItem("audit", describer.Standard, start.Add(time.Duration(i)), time.Millisecond)
		q.Push(items[i])
	}
	for _, i := range []int{0, 2, 4, 4} {
		q.Remove(items[i])
		require.False(t, items[i].Queued())
	}
	q.PushFront(items[4])
	require.Equal(t, 3*time.Millisecond, q.WorkOfGroup(describer.Standard, queuer.Short))
	for _, i := range []int{4, 1, 3} {
		require.Same(t, items[i], serve(q, start))
	}
	require.Zero(t, q.Len())
	require.Zero(t, q.WorkOfGroup(describer.Standard, queuer.Short))
	require.Nil(t, q.Next(start, queuer.PermitAll()))
}

// BenchmarkRemove guards against a cancellation whose cost grows with the queue.
func BenchmarkRemove(b *testing.B) {
	for _, length := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			q := queuer.New[int]()
			items := make([]*item, length)
			for i := range items {
				items[i] = newItem("audit", describer.Standard, start, time.Millisecond)
				q.Push(items[i])
			}
			for i := 0; b.Loop(); i++ {
				next := items[i*7919%length]
				q.Remove(next)
				q.Push(next)
			}
		})
	}
}
