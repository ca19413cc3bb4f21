package forwarder

import (
	"net/http"
	"sync/atomic"
)

// pool holds connections to one address.
type pool struct {
	transport *http.Transport
	budget    *connectionBudget
	// retired is true when the pool keeps no idle connections, because it has been replaced or its limit is zero.
	retired atomic.Bool
}

// retire closes the idle connections and makes each later exchange close its own.
func (p *pool) retire() {
	p.retired.Store(true)
	p.transport.CloseIdleConnections()
}

// exchangeEnded closes the idle connections of a retired pool. An exchange that obtained the pool before it was retired
// may have asked for a connection afterwards, which makes http.Transport keep idle connections again.
func (p *pool) exchangeEnded() {
	if p.retired.Load() {
		p.transport.CloseIdleConnections()
	}
	p.budget.endExchange()
}
