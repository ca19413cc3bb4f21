package measurer

import (
	"container/heap"
	"time"
)

// epochStart is the start of virtual time in all measurements.
var epochStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// agenda runs functions at virtual times.
type agenda struct {
	now   time.Time
	items agendaItems
	last  int64
}

type agendaItem struct {
	at    time.Time
	order int64
	run   func()
}

type agendaItems []agendaItem

func (a agendaItems) Len() int { return len(a) }

func (a agendaItems) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}

func (a agendaItems) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agendaItems) Push(x any) { *a = append(*a, x.(agendaItem)) }

// Pop implements heap.Interface.
func (a *agendaItems) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newAgenda() *agenda {
	return &agenda{now: epochStart}
}

// after runs a function when a duration has passed.
func (a *agenda) after(duration time.Duration, run func()) {
	a.last++
	heap.Push(&a.items, agendaItem{at: a.now.Add(duration), order: a.last, run: run})
}

// every runs a function again and again until it returns false.
func (a *agenda) every(interval time.Duration, run func() bool) {
	a.after(interval, func() {
		if run() {
			a.every(interval, run)
		}
	})
}

// runUntil runs the functions up to a time, or until stop returns true.
func (a *agenda) runUntil(end time.Time, stop func() bool) {
	for len(a.items) > 0 && !a.items[0].at.After(end) && !stop() {
		item := heap.Pop(&a.items).(agendaItem)
		a.now = item.at
		item.run()
	}
}
