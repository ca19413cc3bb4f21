package server

import (
	"sync"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/router"
)

// connectionLimits limits the connections to each backend server to the share of this instance.
type connectionLimits struct {
	mu sync.Mutex
	// limited holds the addresses of the backend servers that have a share.
	limited map[string]struct{}
}

// apply sets the limits that follow from the newest shares. It reads them under its lock, because the shares and the
// addresses change in different goroutines. The limit of an address that has no share any more becomes zero, so that its
// idle connections do not count beside those of the instance that has the share now.
func (l *connectionLimits) apply(
	newest func() []dispatcher.Share, directory *router.Directory, exchanger *forwarder.Forwarder,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier := l.limited
	l.limited = make(map[string]struct{})
	for _, share := range newest() {
		if address, ok := addressOf(directory, share.BackendServer); ok {
			exchanger.SetConnections(address, max(1, share.Connections))
			l.limited[address] = struct{}{}
		}
	}
	for address := range earlier {
		if _, ok := l.limited[address]; !ok {
			exchanger.SetConnections(address, 0)
		}
	}
}

func addressOf(directory *router.Directory, id describer.BackendServerID) (string, bool) {
	server, ok := directory.Server(id)
	return server.Address, ok
}
