package scheduler

import "slices"

// Span is a range of task indices.
type Span struct {
	First int
	Count int
}

func (s Span) has(index int) bool {
	return index >= s.First && index < s.First+s.Count
}

// indexSet is a set of task indices.
type indexSet map[int]bool

func (s indexSet) addRange(first, count int) {
	for index := first; index < first+count; index++ {
		s[index] = true
	}
}

func (s indexSet) removeRange(first, count int) {
	for index := first; index < first+count; index++ {
		delete(s, index)
	}
}

// spans returns the set as ordered ranges.
func (s indexSet) spans() []Span {
	var spans []Span
	for _, index := range s.ordered() {
		last := len(spans) - 1
		if last >= 0 && spans[last].First+spans[last].Count == index {
			spans[last].Count++
			continue
		}
		spans = append(spans, Span{First: index, Count: 1})
	}
	return spans
}

func (s indexSet) ordered() []int {
	indices := make([]int, 0, len(s))
	for index := range s {
		indices = append(indices, index)
	}
	slices.Sort(indices)
	return indices
}

func setOf(spans []Span) indexSet {
	set := make(indexSet)
	for _, span := range spans {
		set.addRange(span.First, span.Count)
	}
	return set
}
