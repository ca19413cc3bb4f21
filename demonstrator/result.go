package demonstrator

// ClassResult is what the callers of one class saw. Waits are in milliseconds.
type ClassResult struct {
	Class     string
	Sent      int
	Answered  int
	NotRun    int
	Unknown   int
	Failed    int
	Cancelled int
	// Silent counts callers that got no answer at all.
	Silent   int
	WaitP50  float64
	WaitP99  float64
	WaitP999 float64
}

// Result is what the stand-ins and the callers counted during a demo.
type Result struct {
	Deployment string
	Seed       uint64
	Sent       int
	Answered   int
	NotRun     int
	Unknown    int
	Failed     int
	Cancelled  int
	// Silent counts callers that got no answer at all, also after retries.
	Silent int
	// Lost counts requests that were told answered but never ran.
	Lost int
	// Doubled counts idempotency keys that ran more than once, and tasks that ran in two places.
	Doubled int
	// RunAfterNotRun counts requests that ran although their caller was told that they did not.
	RunAfterNotRun int
	// WrongAnswers counts answers that were not whole or belonged to another request.
	WrongAnswers int
	// OverCapacity counts requests, connections and tasks above a backend server's capacity.
	OverCapacity int64
	// LateToLeaving counts leaving backend servers that got work more than two seconds after they announced it.
	LateToLeaving int64
	// CutDuringDrain counts requests that were cut off by the graceful stop.
	CutDuringDrain int
	Classes        []ClassResult
	// TasksWanted is how many tasks the jobs have; none of them ends by itself.
	TasksWanted int
	// TasksRunning is how many run at the end, and TasksLowest the lowest number from the first starts to the end of the
	// load.
	TasksRunning int
	TasksLowest  int
	// TasksStarted counts starts, also repeated ones of tasks that had to move.
	TasksStarted int64
	Packing      Packing
	Control      Control
	Events       []string
}

// Packing compares the backend servers that run tasks at the end with how many could hold all tasks by volume.
type Packing struct {
	ServersUsed  int
	ServersBound int
}

// Control is what the cell spent on control.
type Control struct {
	StoreWritesPerSecond float64
	StoreReadsPerSecond  float64
	WatchesPerSecond     float64
}

// Broken lists the guarantees that the run broke.
func (r Result) Broken() []string {
	checks := []struct {
		name  string
		count int
	}{
		{"requests lost", r.Lost},
		{"requests or tasks doubled", r.Doubled},
		{"requests run after the answer 'not run'", r.RunAfterNotRun},
		{"answers that were not whole or not the caller's own", r.WrongAnswers},
		{"work above a backend server's capacity", int(r.OverCapacity)},
		{"leaving backend servers with new work after 2 s", int(r.LateToLeaving)},
		{"requests cut off by a graceful stop", r.CutDuringDrain},
	}
	var broken []string
	for _, check := range checks {
		if check.count > 0 {
			broken = append(broken, check.name)
		}
	}
	return broken
}
