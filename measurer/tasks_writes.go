package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
)

const (
	writesZones  = 9
	writesWarmUp = 400 * time.Second
	writesRun    = 300 * time.Second
	// The writes of the other packages, each second, are computed and not measured: one renewal in 3 s by each of 72
	// members and by the planner, at most ten plan writes a second, and 13,000 tickets a day with a snapshot for each
	// 500.
	memberWrites   = 72.0 / 3
	plannerWrites  = 1.0 / 3
	planWrites     = 10.0
	ticketWrites   = 13_000.0 / 86_400
	snapshotWrites = ticketWrites / 500
	writesTarget   = 300
)

// MeasureWrites measures the store writes of the journals of nine zones, by kind of key, at 1,200 starts and 1,200 ends
// a second.
func MeasureWrites(seeds []uint64) Table {
	table := Table{
		Title: "Store writes a second by key at 1,200 starts a second",
		Notes: []string{
			fmt.Sprintf("Nine zones with a journal each and 1,200 starts and 1,200 ends a second together, evenly spread, for 300 s "+
				"of virtual time after 400 s; the store takes 5 to 20 ms, one call in a hundred 300 ms. Measured are the keys of "+
				"the journals. The other keys are computed from the design page and not measured: Members %.1f, Cell/Planner "+
				"%.2f, Cell/Plan at most %.0f, Configuration/Tickets %.2f, Configuration/Snapshots %.4f. Target: below 300.",
				memberWrites, plannerWrites, planWrites, ticketWrites, snapshotWrites),
		},
		Columns: []string{"seed", "Starts written", "Starts deleted", "Tasks written", "other keys (computed)", "sum", "records/s", "commit p50", "commit p99", "groups kept in a zone", "target"},
	}
	others := memberWrites + plannerWrites + planWrites + ticketWrites + snapshotWrites
	for _, seed := range seeds {
		run, err := runJournals(seed)
		if err != nil {
			table.add(seed, err)
			continue
		}
		seconds := writesRun.Seconds()
		groups, shards, deletions := float64(run.writes["group"])/seconds, float64(run.writes["shard"])/seconds, float64(run.writes["deletion"])/seconds
		sum := groups + shards + deletions + others
		met := "met"
		if sum >= writesTarget {
			met = "missed"
		}
		table.add(seed, groups, deletions, shards, others, sum, float64(run.records)/seconds,
			quantile(run.waits, 0.5), quantile(run.waits, 0.99), run.kept/writesZones, met)
	}
	return table
}

// journalSimulation feeds the journals of several zones with records in virtual time.
type journalSimulation struct {
	*eventQueue
	random  *rand.Rand
	writes  map[string]int
	records int
	// kept is the number of groups of all zones in the store.
	kept int
	// waits are the times from appending a record to its commit.
	waits []time.Duration
	// counted is set after the warm-up, when writes and records are counted.
	counted bool
}

func runJournals(seed uint64) (*journalSimulation, error) {
	run := &journalSimulation{eventQueue: newEventQueue(), random: rand.New(rand.NewPCG(seed, 0)), writes: make(map[string]int)}
	for zone := range writesZones {
		journal, _, err := committer.Recover(context.Background(), fakekeeper.New(), "zone", 1, "measurer")
		if err != nil {
			return nil, err
		}
		run.feed(journal, zone)
		run.writeNext(journal)
	}
	run.runUntil(epochStart.Add(writesWarmUp), func() bool { return false })
	run.counted = true
	run.runUntil(epochStart.Add(writesWarmUp+writesRun), func() bool { return false })
	return run, nil
}

// feed appends starts at a ninth of the whole rate, and the end of each task 183 s later on average.
func (r *journalSimulation) feed(journal *committer.Journal, zone int) {
	next := 0
	r.every(writesZones*time.Second/costStarts, func() bool {
		task := describer.TaskID{Job: describer.JobID(fmt.Sprintf("job-%d-%d", zone, next/100)), Index: next % 100}
		next++
		journal.Append(committer.Record{
			Kind: committer.Started, Task: task, Attempt: 1, Epoch: 1, Server: "server-00000", At: r.now,
		})
		r.after(time.Duration(2*183*r.random.Float64()*float64(time.Second)), func() {
			journal.Append(committer.Record{
				Kind: committer.Ended, Task: task, Attempt: 1, Epoch: 1, Server: "server-00000", At: r.now, Outcome: committer.Succeeded,
			})
		})
		return true
	})
}

// writeNext starts the next write of a journal, or checks again after 10 ms when there is none.
func (r *journalSimulation) writeNext(journal *committer.Journal) {
	write, ok := journal.Next(r.now)
	if !ok {
		r.after(10*time.Millisecond, func() { r.writeNext(journal) })
		return
	}
	kind := writeKind(write)
	if r.counted {
		r.writes[kind]++
	}
	delay := storeDelayMin + time.Duration(r.random.Int64N(int64(storeDelaySpread)))
	if r.random.IntN(storeSlowOneIn) == 0 {
		delay = storeSlowDelay
	}
	r.after(delay, func() {
		records := journal.WriteDone(1)
		for _, record := range records {
			if r.counted {
				r.records++
				r.waits = append(r.waits, r.now.Sub(record.At))
			}
		}
		r.countGroup(kind)
		r.writeNext(journal)
	})
}

// countGroup updates the number of groups that the store holds.
func (r *journalSimulation) countGroup(kind string) {
	switch kind {
	case "group":
		r.kept++
	case "deletion":
		r.kept--
	}
}
