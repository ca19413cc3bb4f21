//go:build review

package harness3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy on the loopback interface.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	pairs  map[*pair]struct{}
	// cut stops the bytes of all connections, and new connections get none either.
	cut bool
}

// pair is a connection that a link forwards.
type pair struct {
	link           *link
	caller, target net.Conn
	mu             sync.Mutex
	silent         bool
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

func (l *link) setTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

func (l *link) accept() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(caller)
	}
}

func (l *link) connect(caller net.Conn) {
	l.mu.Lock()
	address := l.target
	l.mu.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		_ = caller.Close()
		return
	}
	p := &pair{link: l, caller: caller, target: target}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	go p.forward(caller, target)
	p.forward(target, caller)
	if p.swallows() {
		return
	}
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// forward passes bytes on until one side ends. The other side of a silent connection never learns of that end.
func (p *pair) forward(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !p.swallows() {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
		if p.swallows() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (p *pair) swallows() bool {
	p.link.mu.Lock()
	cut := p.link.cut
	p.link.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = p.silent || cut
	return p.silent
}

// silence makes the open connections silent for good, without a reset. New ones work. It returns how many there were.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	return len(l.pairs)
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		_ = p.caller.Close()
		_ = p.target.Close()
	}
}

// freeAddress returns an address for a process. Each has a loopback address of its own, so that no other connection has its port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
