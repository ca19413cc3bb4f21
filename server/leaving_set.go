package server

import (
	"sync"
	"time"

	"egretring.example/egretring/describer"
)

// leavingRetention is how long an announcement is kept. By then the instance list shows that the server is leaving.
const leavingRetention = time.Minute

// leavingSet holds the backend servers that announced that they are leaving. It is safe for concurrent use.
type leavingSet struct {
	mu    sync.Mutex
	until map[describer.BackendServerID]time.Time
}

func (s *leavingSet) add(id describer.BackendServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[describer.BackendServerID]time.Time)
	}
	s.until[id] = time.Now().Add(leavingRetention)
}

func (s *leavingSet) list() []describer.BackendServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var leaving []describer.BackendServerID
	for id, until := range s.until {
		if time.Now().After(until) {
			delete(s.until, id)
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}
