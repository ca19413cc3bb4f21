package demonstrator

// ClassResult counts the outcomes that the callers of one class received. The waits are those of answered requests, in
// milliseconds: the time from the first attempt to the response, less the run time.
type ClassResult struct {
	Class     string
	Sent      int
	Answered  int
	NotRun    int
	Unknown   int
	Failed    int
	Cancelled int
	// Silent counts requests that got no response at all, other than cancelled ones.
	Silent   int
	WaitP50  float64
	WaitP99  float64
	WaitP999 float64
}

// Result holds the counts of the stand-ins and the callers during a demo.
type Result struct {
	Deployment string
	Seed       uint64
	Sent       int
	Answered   int
	NotRun     int
	Unknown    int
	Failed     int
	Cancelled  int
	// Silent counts requests that got no response at all, even after retries, other than cancelled ones.
	Silent int
	// Lost counts requests that never ran although their caller received a successful response or the outcome that they
	// ran.
	Lost int
	// Doubled counts idempotency keys that ran more than once, and tasks that ran in two places.
	Doubled int
	// RunAfterNotRun counts requests that ran although their caller received the outcome that they did not run.
	RunAfterNotRun int
	// WrongAnswers counts successful responses that were incomplete or belonged to another request.
	WrongAnswers int
	// OverCapacity counts the work above a backend server's capacity.
	OverCapacity OverCapacity
	// LateToLeaving counts leaving backend servers that got new work more than two seconds after they had announced that
	// they were leaving.
	LateToLeaving int64
	// CutDuringDrain counts graceful stops that failed, for example because they cut off requests in flight.
	CutDuringDrain int
	Classes        []ClassResult
	// TasksWanted is the number of tasks of all jobs; none of them ends by itself.
	TasksWanted int
	// TasksRunning is the number of running tasks at the end, and TasksLowest their lowest number between the first
	// starts and the end of the load.
	TasksRunning int
	TasksLowest  int
	// TasksStarted counts starts of tasks, including repeated starts of tasks that had to move.
	TasksStarted int64
	Packing      Packing
	Control      Control
	Events       []string
}

// Packing compares the number of backend servers that run tasks at the end with the lowest number that could hold all
// tasks by the sum of their resources.
type Packing struct {
	ServersUsed  int
	ServersBound int
}

// Control holds the rates of calls that the cell made to the configuration store.
type Control struct {
	StoreWritesPerSecond float64
	StoreReadsPerSecond  float64
	WatchesPerSecond     float64
}

// BrokenGuarantees lists the guarantees that the run broke.
func (r Result) BrokenGuarantees() []string {
	checks := []struct {
		name  string
		count int
	}{
		{"requests lost", r.Lost},
		{"requests or tasks doubled", r.Doubled},
		{"requests run after the answer 'not run'", r.RunAfterNotRun},
		{"answers that were not whole or not the caller's own", r.WrongAnswers},
		{"requests above a backend server's slots", int(r.OverCapacity.Requests)},
		{"connections above a backend server's limit", int(r.OverCapacity.Connections)},
		{"tasks above a backend server's capacity", int(r.OverCapacity.Tasks)},
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
