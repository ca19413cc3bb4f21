package gatekeeper

import "container/list"

// State is what a connection is doing.
type State int

// The states.
const (
	// Idle is a connection without a request, either new or between two requests.
	Idle State = iota
	// Receiving is a connection whose request has begun and is not complete.
	Receiving
	// Serving is a connection whose request is complete and is not answered. It is never closed: its job may be accepted already.
	Serving
)

// Account is what the ledger knows about one connection.
type Account struct {
	// Owner is the connection; the ledger does not use it.
	Owner any
	state State
	// bytes is the memory that the request on the connection holds.
	bytes int64
	// progress is the number of the last event at which the connection made progress.
	progress int64
	element  *list.Element
	// closing is set when the ledger has named the connection, and gone when it is closed.
	closing bool
	gone    bool
}

// Ledger counts the connections of callers and the memory that their requests hold. It is not safe for concurrent use.
type Ledger struct {
	// memory and connections are the bounds; zero means no bound. connectionBytes is counted for each connection.
	memory          int64
	connections     int
	connectionBytes int64

	open  int
	bytes int64
	// serving is the part of bytes that connections in the state Serving hold.
	serving  int64
	requests int
	events   int64
	// idle and receiving hold the accounts in these states, the one without progress for longest first.
	idle      *list.List
	receiving *list.List
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		memory: limits.MemoryBytes, connections: limits.Connections, connectionBytes: connectionBytes,
		idle: list.New(), receiving: list.New(),
	}
}

// Used returns the memory in use and the number of open connections.
func (l *Ledger) Used() (bytes int64, connections int) {
	return l.bytes, l.open
}

// Open adds a connection. The connections of the accounts that it returns have to be closed at once. Without an account, the new
// connection itself has to be closed.
func (l *Ledger) Open(owner any) (account *Account, closed []*Account) {
	for l.connections > 0 && l.open >= l.connections {
		victim := l.longestWithoutProgress()
		if victim == nil {
			return nil, closed
		}
		l.Close(victim)
		closed = append(closed, victim)
	}
	more, fits := l.free(l.connectionBytes, nil)
	for _, victim := range more {
		l.Close(victim)
	}
	closed = append(closed, more...)
	if !fits {
		return nil, closed
	}
	account = &Account{Owner: owner}
	l.open++
	l.bytes += l.connectionBytes
	l.enter(account, Idle)
	return account, closed
}

// Charge adds bytes to the request of a connection, which has made progress. The connections of the accounts that it returns have to
// be closed. It reports whether the bytes could be added; if not, the request has to be refused. The only request of all connections
// always fits.
func (l *Ledger) Charge(account *Account, bytes int64) (closed []*Account, fits bool) {
	if account.closing {
		return nil, false
	}
	state := account.state
	if state == Idle {
		state = Receiving
	}
	l.enter(account, state)
	closed, fits = l.free(bytes, account)
	if !fits && !l.isOnlyRequest(account) {
		return closed, false
	}
	if account.bytes == 0 && bytes > 0 {
		l.requests++
	}
	l.add(account, bytes)
	return closed, true
}

// Serve marks the request of a connection as complete.
func (l *Ledger) Serve(account *Account) {
	if !account.closing {
		l.enter(account, Serving)
	}
}

// Answered releases what the request of a connection holds.
func (l *Ledger) Answered(account *Account) {
	if !account.closing {
		l.release(account)
		l.enter(account, Idle)
	}
}

// Close removes a connection. A second call has no effect.
func (l *Ledger) Close(account *Account) {
	l.evict(account)
	if !account.gone {
		account.gone = true
		l.open--
	}
}

// evict releases the memory of a connection that is to be closed. It counts as open until it is closed, because its descriptor is in
// use while an answer is sent.
func (l *Ledger) evict(account *Account) {
	if account.closing {
		return
	}
	l.release(account)
	l.leave(account)
	l.bytes -= l.connectionBytes
	account.closing = true
}

func (l *Ledger) release(account *Account) {
	if account.bytes > 0 {
		l.requests--
	}
	l.add(account, -account.bytes)
}

func (l *Ledger) add(account *Account, bytes int64) {
	account.bytes += bytes
	l.bytes += bytes
	if account.state == Serving {
		l.serving += bytes
	}
}

func (l *Ledger) isOnlyRequest(account *Account) bool {
	return l.requests == 0 || (l.requests == 1 && account.bytes > 0)
}

// free closes connections until bytes fit into the memory. Connections with an incomplete request come first, because they hold most;
// among those of a state, the one without progress for longest comes first. The account that needs the memory is kept. If the bytes
// cannot fit, none is closed.
func (l *Ledger) free(bytes int64, keep *Account) (closed []*Account, fits bool) {
	kept := l.serving
	if keep != nil && keep.state != Serving {
		kept += l.connectionBytes + keep.bytes
	}
	if l.memory > 0 && kept+bytes > l.memory {
		return nil, false
	}
	for l.memory > 0 && l.bytes+bytes > l.memory {
		victim := first(l.receiving, keep)
		if victim == nil {
			victim = first(l.idle, keep)
		}
		if victim == nil {
			return closed, false
		}
		l.evict(victim)
		closed = append(closed, victim)
	}
	return closed, true
}

func (l *Ledger) longestWithoutProgress() *Account {
	idle, receiving := first(l.idle, nil), first(l.receiving, nil)
	if idle == nil || (receiving != nil && receiving.progress < idle.progress) {
		return receiving
	}
	return idle
}

// first returns the first account of a list that is not keep.
func first(accounts *list.List, keep *Account) *Account {
	element := accounts.Front()
	if element != nil && element.Value.(*Account) == keep {
		element = element.Next()
	}
	if element == nil {
		return nil
	}
	return element.Value.(*Account)
}

// enter moves an account to the end of the list of a state.
func (l *Ledger) enter(account *Account, state State) {
	l.events++
	account.progress = l.events
	if account.element != nil && account.state == state {
		l.listOf(state).MoveToBack(account.element)
		return
	}
	if account.state == Serving && state == Serving {
		return
	}
	l.leave(account)
	account.state = state
	if accounts := l.listOf(state); accounts != nil {
		account.element = accounts.PushBack(account)
		return
	}
	l.serving += l.connectionBytes + account.bytes
}

func (l *Ledger) leave(account *Account) {
	if account.element != nil {
		l.listOf(account.state).Remove(account.element)
		account.element = nil
		return
	}
	if account.state == Serving {
		l.serving -= l.connectionBytes + account.bytes
	}
}

func (l *Ledger) listOf(state State) *list.List {
	switch state {
	case Idle:
		return l.idle
	case Receiving:
		return l.receiving
	default:
		return nil
	}
}
