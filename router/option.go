package router

import (
	"egretring.example/egretring/describer"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/tracer"
)

// Option configures a Router.
type Option func(*Router)

// WithMeter sets where the router counts requests.
func WithMeter(m *meter.Meter) Option {
	return func(r *Router) { r.meter = m }
}

// WithTracer sets the tracer of the hops.
func WithTracer(t *tracer.Tracer) Option {
	return func(r *Router) { r.tracer = t }
}

// WithLeavingHook sets what is called when a backend server announces that it is leaving.
func WithLeavingHook(hook func(describer.BackendServerID)) Option {
	return func(r *Router) { r.onLeaving = hook }
}

// WithHeldHook sets what is called when a backend server may still run a request whose attempt has ended.
func WithHeldHook(hook func(describer.BackendServer)) Option {
	return func(r *Router) { r.onHeld = hook }
}

// WithEndHook sets what is called when a request has ended without an answer of a backend server of this zone.
func WithEndHook(hook func(Ended)) Option {
	return func(r *Router) { r.onEnded = hook }
}

// WithHomes sets where non-repeatable requests with an idempotency key run.
func WithHomes(homes *Homes) Option {
	return func(r *Router) { r.homes = homes }
}
