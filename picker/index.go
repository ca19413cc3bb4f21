package picker

import "math/bits"

// index holds the servers with a free slot by load level, so that choosing one does not scan all servers.
type index struct {
	levels [levelCount][]*server
	// nonEmptyLevels has a bit for each level that is not empty.
	nonEmptyLevels uint32
	usable         []*server
	roundRobinTurn int
}

func (x *index) add(s *server, level int) {
	s.level = level
	s.levelIndex = len(x.levels[level])
	x.levels[level] = append(x.levels[level], s)
	x.nonEmptyLevels |= 1 << level
}

func (x *index) remove(s *server) {
	servers := x.levels[s.level]
	end := len(servers) - 1
	servers[s.levelIndex] = servers[end]
	servers[s.levelIndex].levelIndex = s.levelIndex
	servers[end] = nil
	x.levels[s.level] = servers[:end]
	if end == 0 {
		x.nonEmptyLevels &^= 1 << s.level
	}
	s.level = noLevel
}

func (x *index) addUsable(s *server) {
	s.usableIndex = len(x.usable)
	x.usable = append(x.usable, s)
}

func (x *index) removeUsable(s *server) {
	end := len(x.usable) - 1
	x.usable[s.usableIndex] = x.usable[end]
	x.usable[s.usableIndex].usableIndex = s.usableIndex
	x.usable[end] = nil
	x.usable = x.usable[:end]
}

// move moves a server to a level, or removes it from the index when the level is noLevel.
func (x *index) move(s *server, level int) {
	if s.level == level {
		return
	}
	if s.level == noLevel {
		x.addUsable(s)
	} else {
		x.remove(s)
	}
	if level == noLevel {
		x.removeUsable(s)
		return
	}
	x.add(s, level)
}

// lowest returns the lowest non-empty level from the given one upwards.
func (x *index) lowest(from int) (int, bool) {
	masked := x.nonEmptyLevels >> from << from
	if masked == 0 {
		return 0, false
	}
	return bits.TrailingZeros32(masked), true
}
