package measurer

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/ticketer"
)

const (
	// keptTickets is the largest number of tickets that an instance keeps and sends with a snapshot.
	keptTickets  = 1_500
	ticketsToday = 100
)

func configurationSweeps(seed uint64) []sweep {
	jobs := []int{10_000, 40_000, 80_000, 160_000}
	tickets := []int{100, 500, 1_000, 1_500}
	bySize := func(figure string, measure func(state ticketer.State) float64) sweep {
		return sweep{
			figure, "jobs in the configuration", jobs, jobsToday, jobsLater,
			func(size int) float64 { return measure(configurationOf(seed, size)) },
		}
	}
	return []sweep{
		bySize("µs to apply a ticket of one job", func(state ticketer.State) float64 {
			ticket := ticketOf(1)
			return microsecondsEach(5_000, func(int) {
				_, _ = ticketer.Apply(state, ticketer.AcceptedTicket{Number: 1, Ticket: ticket})
			})
		}),
		bySize("µs to check a ticket of one job", func(state ticketer.State) float64 {
			ticket := ticketOf(1)
			return microsecondsEach(2_000, func(int) { _ = ticketer.Check(state, ticket) })
		}),
		{
			"bytes of the state", "jobs in the configuration", jobs, jobsToday, jobsLater,
			func(size int) float64 { return heapBytes(func() any { return configurationOf(seed, size) }) },
		},
		bySize("bytes of the snapshot as JSON", func(state ticketer.State) float64 { return encodedBytes(state.Snapshot()) }),
		bySize("bytes of the snapshot, compressed", func(state ticketer.State) float64 {
			return float64(len(compressedSnapshot(state)))
		}),
		bySize("bytes of a peer's reply with a snapshot and no tickets", func(state ticketer.State) float64 {
			return encodedBytes(messenger.TicketsReply{Snapshot: compressedSnapshot(state)})
		}),
		bySize("ms of processor to encode a snapshot", func(state ticketer.State) float64 {
			return microsecondsEach(1, func(int) { _ = compressedSnapshot(state) }) / 1_000
		}),
		bySize("ms of processor to decode a snapshot into a state", func(state ticketer.State) float64 {
			compressed := compressedSnapshot(state)
			return microsecondsEach(1, func(int) { _ = decompressedState(compressed) }) / 1_000
		}),
		{
			"bytes of a peer's reply with tickets of one job each", "tickets", tickets, ticketsToday, keptTickets,
			func(size int) float64 { return encodedBytes(ticketsReply(size)) },
		},
		{
			"bytes of the tickets in memory", "tickets of one job each", tickets, ticketsToday, keptTickets,
			func(size int) float64 {
				return heapBytes(func() any {
					var kept []ticketer.AcceptedTicket
					for i := range size {
						kept = append(kept, acceptedTicketOf(i))
					}
					return kept
				})
			},
		},
	}
}

// configuredJob returns a job with a random ID, size and run time, so that a snapshot of such jobs does not compress
// better than a real one.
func configuredJob(random *rand.Rand, number int) *describer.Job {
	return &describer.Job{
		ID:   describer.JobID(fmt.Sprintf("job-%016x", random.Uint64())),
		Team: describer.TeamID(fmt.Sprintf("team-%03d", number%360)), Class: describer.Class(random.IntN(describer.ClassCount)),
		Policy: describer.BatchJob, Tasks: 1 + random.IntN(100), ExpectedSeconds: int64(random.IntN(10_000)),
		PerTask: describer.Resources{MilliCores: 100 * random.Int64N(640), MemoryBytes: random.Int64N(256) << 28},
	}
}

// configurationOf returns the state that an instance holds after it has read a snapshot with a number of jobs.
func configurationOf(seed uint64, jobs int) ticketer.State {
	random := rand.New(rand.NewPCG(seed, 0))
	snapshot := ticketer.Snapshot{Jobs: make([]describer.Job, jobs)}
	for i := range jobs {
		snapshot.Jobs[i] = *configuredJob(random, i)
	}
	slices.SortFunc(snapshot.Jobs, func(a, b describer.Job) int { return cmp.Compare(a.ID, b.ID) })
	return snapshot.State()
}

func ticketOf(number int) ticketer.Ticket {
	job := configuredJob(rand.New(rand.NewPCG(uint64(number), 1)), number)
	return ticketer.Ticket{
		ID: fmt.Sprintf("ticket-%016d", number), Base: int64(number), Comment: "raise the number of tasks",
		Jobs: map[describer.JobID]*describer.Job{job.ID: job},
	}
}

func acceptedTicketOf(number int) ticketer.AcceptedTicket {
	return ticketer.AcceptedTicket{
		Number: int64(number), WriteID: fmt.Sprintf("%026d", number), Previous: fmt.Sprintf("%026d", number-1),
		AcceptedAt: epochStart, AcceptedBy: "entry-instance-017", Ticket: ticketOf(number),
	}
}

func ticketsReply(tickets int) messenger.TicketsReply {
	var reply messenger.TicketsReply
	for i := range tickets {
		body, err := json.Marshal(acceptedTicketOf(i))
		if err != nil {
			continue
		}
		reply.Tickets = append(reply.Tickets, messenger.Ticket{Number: int64(i), Content: body})
	}
	return reply
}

// compressedSnapshot encodes a snapshot in the same way as package distributor.
func compressedSnapshot(state ticketer.State) []byte {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil
	}
	if json.NewEncoder(writer).Encode(state.Snapshot()) != nil || writer.Close() != nil {
		return nil
	}
	return buffer.Bytes()
}

func decompressedState(compressed []byte) ticketer.State {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return ticketer.State{}
	}
	var snapshot ticketer.Snapshot
	if json.NewDecoder(reader).Decode(&snapshot) != nil {
		return ticketer.State{}
	}
	return snapshot.State()
}
