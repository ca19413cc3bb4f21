package meter

// The names of the metrics. Counters count events, gauges hold the last value, and histograms are in microseconds.
const (
	RequestsReceived  = "Requests.Received"
	RequestsAnswered  = "Requests.Answered"
	RequestsRefused   = "Requests.Refused"
	RequestsUnknown   = "Requests.OutcomeUnknown"
	RequestsRelayed   = "Requests.Relayed"
	RequestWait       = "Requests.WaitMicroseconds"
	RequestTime       = "Requests.TimeMicroseconds"
	AttemptsStarted   = "Attempts.Started"
	AttemptsFailed    = "Attempts.Failed"
	StartsWithheld    = "Attempts.WithheldWithoutRight"
	SlotsOwned        = "Slots.Owned"
	TicketApplied     = "Tickets.Applied"
	StoreReachable    = "Store.Reachable"
	AssignmentEpoch   = "Assignment.Epoch"
	PeersReachable    = "Peers.Reachable"
	EventsWaiting     = "Events.Waiting"
	InstanceListReads = "InstanceList.Reads"
)
