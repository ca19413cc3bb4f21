package limiter

import "slices"

// Server limits the calls of an owner to one address of a backend server. W identifies a call that waits.
type Server[W comparable] struct {
	limits Limits
	// incarnation is that of the server to which leftByOthers and abandoned apply.
	incarnation int64
	// leftByOthers is the number of connections that lost owners may have left open at this incarnation, and abandoned that of kept ones
	// that this owner has closed for want of a response.
	leftByOthers, abandoned int
	// calls are those under way, and kept is how many of them use kept connections.
	calls, kept int
	waiting     [classes][]waiting[W]
}

// waiting is a call that waits.
type waiting[W comparable] struct {
	call     W
	borrowed bool
	// hurried calls wait for a connection of any kind, and others for a kept one.
	hurried bool
}

// Grant permits a call. A call on a kept connection leaves it open; any other asks the server to close it after its response, so that
// the server closes it even if the owner is lost.
type Grant struct{ Kept bool }

// NewServer returns the state for a server without calls.
func NewServer[W comparable](limits Limits) *Server[W] {
	return &Server[W]{limits: limits, incarnation: unknownIncarnation}
}

// SetLimits replaces the limits. Calls under way keep their connections.
func (s *Server[W]) SetLimits(limits Limits) { s.limits = limits }

// unknownIncarnation is lower than all incarnations.
const unknownIncarnation = -1

// SetIncarnation states the incarnation of the server, and how many connections lost owners may have left open at it. A later
// incarnation has none of those that were left open at the former one.
func (s *Server[W]) SetIncarnation(incarnation int64, leftByOthers int) {
	if incarnation > s.incarnation {
		s.incarnation, s.leftByOthers, s.abandoned = incarnation, leftByOthers, 0
	}
}

// NoteAbandoned counts a kept connection that this owner has closed and the server may still have open.
func (s *Server[W]) NoteAbandoned() { s.abandoned++ }

// Left returns how many connections may be open at the server that nobody uses any more.
func (s *Server[W]) Left() int { return s.leftByOthers + s.abandoned }

// Calls returns the number of calls under way.
func (s *Server[W]) Calls() int { return s.calls }

// Begin permits a call at once, or makes it wait until Next permits it. A borrowed server gets no kept connection: only the shard
// that it belongs to counts what its lost owners leave open.
func (s *Server[W]) Begin(class Class, borrowed bool, call W) (Grant, bool) {
	w := waiting[W]{call: call, borrowed: borrowed}
	if len(s.waiting[class]) == 0 {
		if grant, granted := s.tryGrant(class, w); granted {
			return grant, true
		}
	}
	s.waiting[class] = append(s.waiting[class], w)
	return Grant{}, false
}

// Hurry lets a call that waits for a kept connection use another one.
func (s *Server[W]) Hurry(class Class, call W) {
	if i := s.find(class, call); i >= 0 {
		s.waiting[class][i].hurried = true
	}
}

// Withdraw removes a call that waits. It reports false if the call waits no more.
func (s *Server[W]) Withdraw(class Class, call W) bool {
	i := s.find(class, call)
	if i < 0 {
		return false
	}
	s.waiting[class] = slices.Delete(s.waiting[class], i, i+1)
	return true
}

// End ends a call.
func (s *Server[W]) End(ended Grant) {
	s.calls--
	if ended.Kept {
		s.kept--
	}
}

// Next permits a call that waits, the most urgent one first, if there is one that may begin. It has to be called after Hurry, Withdraw and
// End until it finds none.
func (s *Server[W]) Next() (call W, grant Grant, found bool) {
	for class := classes - 1; class >= 0; class-- {
		queue := s.waiting[class]
		if len(queue) == 0 {
			continue
		}
		if grant, found = s.tryGrant(class, queue[0]); found {
			s.waiting[class] = queue[1:]
			return queue[0].call, grant, true
		}
	}
	return call, Grant{}, false
}

func (s *Server[W]) find(class Class, call W) int {
	return slices.IndexFunc(s.waiting[class], func(w waiting[W]) bool { return w.call == call })
}

// tryGrant permits a call if there is a connection for it. It does not wait for a kept connection if there can be none.
func (s *Server[W]) tryGrant(class Class, w waiting[W]) (Grant, bool) {
	if s.calls >= s.limits.callsOf(class) {
		return Grant{}, false
	}
	limit := s.keptLimit()
	if w.borrowed {
		limit = 0
	}
	kept := s.kept < limit
	if !kept && limit > 0 && !w.hurried {
		return Grant{}, false
	}
	s.calls++
	if kept {
		s.kept++
	}
	return Grant{Kept: kept}, true
}

// keptLimit returns how many connections may be kept. Together with the abandoned ones they are no more than a lost owner counts for, so
// that this holds for this owner, too, whenever it is lost.
func (s *Server[W]) keptLimit() int {
	if s.leftByOthers+KeptConnections > s.limits.Left {
		return 0
	}
	return max(0, KeptConnections-s.abandoned)
}
