package classifier

// Kind is the kind of an error. The list is closed; every kind has an entry in errorResponses.
type Kind int

// The error kinds.
const (
	Internal Kind = iota
	BadRequest
	RequestTooLarge
	UnknownService
	BadDeadline
	DeadlineExceeded
	Overloaded
	QueueFull
	LimitReached
	NoBackendServer
	BackendFailed
	BackendTruncated
	OutcomeUnknown
	KeyInUse
	KeyExpired
	Draining
	NotReady
	Cancelled
	BadTicket
	Conflict
	NotFound
	StoreUnavailable
	Forbidden
	Unauthorized
	kindCount
)

// Kinds lists all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// String returns the name of the kind.
func (k Kind) String() string {
	return ErrorResponseOf(k).Name
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, bool) {
	for _, kind := range Kinds() {
		if kind.String() == name {
			return kind, true
		}
	}
	return Internal, false
}
