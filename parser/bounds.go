package parser

// The bounds of ticket texts and their fields.
const (
	// MaxTextBytes is the maximum size of the text of a ticket. It keeps the stored ticket, in which omitted fields are
	// written out as well, below the store's limit of 1 MiB per value.
	MaxTextBytes = 256 << 10

	maxCommentBytes = 4096
	maxReasonBytes  = 1024
	maxDepth        = 16
	maxObjects      = 10_000
	maxZones        = 64
	maxKinds        = 256
	maxTeamLimits   = 10_000

	maxNumber               = 1 << 53
	maxSlots                = 4096
	maxConnections          = 65_536
	maxQueueLimit           = 1_000_000
	maxRequests             = 1_000_000
	maxExpectedMilliseconds = 24 * 60 * 60 * 1000
	maxExpectedSeconds      = 366 * 24 * 60 * 60
	maxTasks                = 100_000
	maxAttempts             = 1000
	// The maximum resources of a task are well above those of any machine, and those of a quota well above those of any
	// cell.
	maxTaskMilliCores    = 10_000_000
	maxTaskMemoryBytes   = 1 << 50
	maxTaskAccelerators  = 1024
	maxQuotaMilliCores   = 1 << 50
	maxQuotaMemoryBytes  = 1 << 60
	maxQuotaAccelerators = 1 << 40
	maxIncarnation       = 1<<63 - 1
)
