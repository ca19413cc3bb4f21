package demonstrator

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/partitioner"
)

// loopback is a listen address on which the operating system chooses a free port.
const loopback = "127.0.0.1:0"

// platform holds the stand-ins for the platform's services: the configuration store and the instance list.
type platform struct {
	store        *fakekeeper.Store
	list         *fakelister.List
	storeAddress string
	listAddress  string
	servers      []*http.Server
}

func newPlatform(topology Topology, network *partitioner.Network) (*platform, error) {
	p := &platform{
		store: fakekeeper.New(),
		list:  fakelister.New(lister.Listing{}, fakelister.WithLag(topology.ListLag)),
	}
	var err error
	if p.storeAddress, err = p.serve(p.store.Handler(), network); err != nil {
		return nil, err
	}
	p.listAddress, err = p.serve(p.list.Handler(), network)
	return p, err
}

func (p *platform) serve(handler http.Handler, network *partitioner.Network) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for a platform service")
	}
	server := &http.Server{Handler: handler}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	network.Register(listener.Addr().String(), partitioner.Platform)
	return listener.Addr().String(), nil
}

func (p *platform) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}
