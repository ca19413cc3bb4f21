package loader

import "time"

// Settings are the settings of one daemon.
type Settings struct {
	Instance          string
	AvailabilityZone  string
	Zones             []string
	Listeners         Listeners
	Store             string
	InstanceList      string
	MaxRequestBytes   int64
	DefaultTimeout    time.Duration
	MaxTimeout        time.Duration
	DrainTimeout      time.Duration
	IdempotencyWindow time.Duration
	ListInterval      time.Duration
	LogLevel          string
	TraceRatio        float64
	TLS               TLS
}

// Listeners are the addresses on which a daemon listens, as host and port.
type Listeners struct {
	Callers   string
	Operators string
	Peers     string
	Relay     string
}

// TLS names the files of certificates and keys, where empty names switch TLS off, and the organizational units whose
// certificates may apply tickets.
type TLS struct {
	CallersCertificate   string
	CallersKey           string
	InternalCertificate  string
	InternalKey          string
	InternalAuthorities  string
	OperatorWriterGroups []string
}
