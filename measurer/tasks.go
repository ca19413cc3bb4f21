package measurer

// Measurement is a named measurement that is repeated for each seed.
type Measurement struct {
	Name string
	Run  func(seeds []uint64) Table
}

// TaskMeasurements lists the measurements of how tasks are placed, started and recorded in the store.
func TaskMeasurements() []Measurement {
	return []Measurement{
		{Name: "packing", Run: MeasurePacking},
		{Name: "cost", Run: MeasureCost},
		{Name: "urgent", Run: MeasureUrgent},
		{Name: "gangs", Run: MeasureGangs},
		{Name: "rebuild", Run: MeasureRebuild},
		{Name: "writes", Run: MeasureWrites},
	}
}
