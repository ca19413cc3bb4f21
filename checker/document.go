package checker

// Document is a configuration as it stands in a file.
type Document struct {
	Version  Field[int64]
	Queues   []Queue
	Services []Service
	Teams    []Team
	Limits   Limits
	// QueuesPlace is the place of the list of queues.
	QueuesPlace string
	// QueuesFaulty and ServicesFaulty are true when the reader has reported that the file has something else than a list.
	QueuesFaulty   bool
	ServicesFaulty bool
	// TeamsPlace is the place of the list of teams.
	TeamsPlace string
}

// Limits are the limits for requests of callers.
type Limits struct {
	BodyBytes          Field[int64]
	HeaderBytes        Field[int64]
	HeaderMilliseconds Field[int64]
	IdleMilliseconds   Field[int64]
}
