package checker

// Team is a team of the configuration.
type Team struct {
	Place     string
	Name      Field[string]
	Keys      []Field[string]
	KeysPlace string
	// KeysFaulty is true when the reader has reported that the file has something else than a list of keys.
	KeysFaulty bool
	Weight     Field[float64]
	// The limits of what the team has running; zero means no limit.
	MilliCores   Field[int64]
	MemoryMB     Field[int64]
	Accelerators Field[int64]
}

func (t Team) limits() []Field[int64] {
	return []Field[int64]{t.MilliCores, t.MemoryMB, t.Accelerators}
}
