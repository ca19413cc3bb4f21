package planner

import "slices"

// span is a range of task indices.
type span struct {
	first int
	count int
}

func (s span) end() int { return s.first + s.count }

// spans is an ordered list of ranges that do not overlap.
type spans []span

func (s spans) total() int {
	total := 0
	for _, each := range s {
		total += each.count
	}
	return total
}

// take removes up to count indices from the front and returns them.
func (s *spans) take(count int) spans {
	var taken spans
	for count > 0 && len(*s) > 0 {
		first := &(*s)[0]
		part := span{first: first.first, count: min(count, first.count)}
		taken = append(taken, part)
		count -= part.count
		first.first += part.count
		first.count -= part.count
		if first.count == 0 {
			*s = (*s)[1:]
		}
	}
	return taken
}

// takeLast removes up to count indices from the back and returns them.
func (s *spans) takeLast(count int) spans {
	kept := s.take(max(0, s.total()-count))
	taken := *s
	*s = kept
	return taken
}

// remove removes one index and reports whether it was present.
func (s *spans) remove(index int) bool {
	for i, each := range *s {
		if index < each.first || index >= each.end() {
			continue
		}
		remaining := make(spans, 0, 2)
		if index > each.first {
			remaining = append(remaining, span{first: each.first, count: index - each.first})
		}
		if index+1 < each.end() {
			remaining = append(remaining, span{first: index + 1, count: each.end() - index - 1})
		}
		*s = slices.Replace(slices.Clone(*s), i, i+1, remaining...)
		return true
	}
	return false
}

// add inserts ranges and merges adjacent ones.
func (s *spans) add(added spans) {
	all := append(slices.Clone(*s), added...)
	slices.SortFunc(all, func(a, b span) int { return a.first - b.first })
	joined := all[:0]
	for _, each := range all {
		last := len(joined) - 1
		if last >= 0 && joined[last].end() == each.first {
			joined[last].count += each.count
			continue
		}
		joined = append(joined, each)
	}
	*s = joined
}
