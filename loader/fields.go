package loader

import "time"

const (
	maxNameBytes   = 63
	nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
	nameAllowed    = "1 to 63 of a-z, A-Z, 0-9, dash, underscore and dot"
	maxBodyBytes   = 64 << 20
)

// Fields returns the description of every field of the settings.
func Fields() []Field {
	fields := identityFields()
	fields = append(fields, listenerFields()...)
	fields = append(fields, requestFields()...)
	fields = append(fields, monitoringFields()...)
	return append(fields, tlsFields()...)
}

func identityFields() []Field {
	return []Field{
		textField(Field{
			Path: "Instance", Unit: "name", Allowed: nameAllowed,
			Purpose: "Name of this entry instance, unique in the cell.",
		}, func(s *Settings) *string { return &s.Instance }, checkName),
		textField(Field{
			Path: "AvailabilityZone", Unit: "name", Allowed: nameAllowed,
			Purpose: "Availability zone of this entry instance.",
		}, func(s *Settings) *string { return &s.AvailabilityZone }, checkName),
		listField(Field{
			Path: "Zones", Unit: "list of names", Allowed: nameAllowed + ", each",
			Purpose: "All availability zones of the cell; the homes of idempotency keys.",
		}, func(s *Settings) *[]string { return &s.Zones }, checkName),
		textField(Field{
			Path: "Store", Unit: "URL", Allowed: "http or https with an IP address and a port",
			Purpose: "Address of the platform's configuration store.",
		}, func(s *Settings) *string { return &s.Store }, checkURL),
		textField(Field{
			Path: "InstanceList", Unit: "URL", Allowed: "http or https with an IP address and a port",
			Purpose: "Address of the platform's instance list.",
		}, func(s *Settings) *string { return &s.InstanceList }, checkURL),
		durationField(Field{
			Path: "ListInterval", Default: `"2s"`,
			Purpose: "Time between two reads of the instance list.",
		}, func(s *Settings) *time.Duration { return &s.ListInterval }, 100*time.Millisecond, time.Minute),
	}
}

func listenerFields() []Field {
	const address = "IP address with a port; port 0 takes a free port"
	listener := func(name, purpose string, target func(*Listeners) *string) Field {
		return textField(Field{Path: "Listeners." + name, Unit: "address", Allowed: address, Purpose: purpose},
			func(s *Settings) *string { return target(&s.Listeners) }, checkAddress)
	}
	return []Field{
		listener("Callers", "Address for callers.", func(l *Listeners) *string { return &l.Callers }),
		listener("Operators", "Address for operators.", func(l *Listeners) *string { return &l.Operators }),
		listener("Peers", "Address for messages of other entry instances.", func(l *Listeners) *string { return &l.Peers }),
		listener("Relay", "Address for requests relayed by other entry instances.",
			func(l *Listeners) *string { return &l.Relay }),
	}
}

func requestFields() []Field {
	return []Field{
		numberField(Field{
			Path: "MaxRequestBytes", Unit: "bytes", Default: "1048576", Allowed: "1 to 67108864",
			Purpose: "Largest body of a caller's request.",
		}, func(s *Settings, n float64) { s.MaxRequestBytes = int64(n) }, 1, maxBodyBytes, true),
		durationField(Field{
			Path: "DefaultTimeout", Default: `"30s"`,
			Purpose: "Time until the deadline of a request that names none.",
		}, func(s *Settings) *time.Duration { return &s.DefaultTimeout }, time.Millisecond, time.Hour),
		durationField(Field{
			Path: "MaxTimeout", Default: `"10m"`,
			Purpose: "Longest time until the deadline of a request; a later deadline is refused.",
		}, func(s *Settings) *time.Duration { return &s.MaxTimeout }, time.Millisecond, 24*time.Hour),
		durationField(Field{
			Path: "DrainTimeout", Default: `"60s"`,
			Purpose: "Longest time that a graceful stop waits for requests in flight.",
		}, func(s *Settings) *time.Duration { return &s.DrainTimeout }, time.Second, time.Hour),
		durationField(Field{
			Path: "IdempotencyWindow", Default: `"10m"`,
			Purpose: "Time during which a retry with the same idempotency key is recognised.",
		}, func(s *Settings) *time.Duration { return &s.IdempotencyWindow }, time.Second, 24*time.Hour),
	}
}

func monitoringFields() []Field {
	return []Field{
		textField(Field{
			Path: "LogLevel", Unit: "name", Default: `"Info"`, Allowed: "Debug, Info, Warn or Error",
			Purpose: "Least severe level that is logged.",
		}, func(s *Settings) *string { return &s.LogLevel }, checkLevel),
		numberField(Field{
			Path: "TraceRatio", Unit: "ratio", Default: "0.01", Allowed: "0 to 1",
			Purpose: "Share of requests without a trace of their own whose spans are recorded.",
		}, func(s *Settings, n float64) { s.TraceRatio = n }, 0, 1, false),
	}
}

func tlsFields() []Field {
	file := func(name, purpose string, target func(*TLS) *string) Field {
		return textField(Field{
			Path: "TLS." + name, Unit: "file name", Default: `""`,
			Allowed: "empty, or a readable PEM file", Purpose: purpose,
		}, func(s *Settings) *string { return target(&s.TLS) }, checkFile)
	}
	return []Field{
		file("CallersCertificate", "Certificate of the listener for callers; empty serves plain HTTP.",
			func(t *TLS) *string { return &t.CallersCertificate }),
		file("CallersKey", "Key of CallersCertificate.", func(t *TLS) *string { return &t.CallersKey }),
		file("InternalCertificate", "Certificate towards operators and other entry instances; empty switches TLS off.",
			func(t *TLS) *string { return &t.InternalCertificate }),
		file("InternalKey", "Key of InternalCertificate.", func(t *TLS) *string { return &t.InternalKey }),
		file("InternalAuthorities", "Authorities whose client certificates are accepted.",
			func(t *TLS) *string { return &t.InternalAuthorities }),
		listField(Field{
			Path: "TLS.OperatorWriterGroups", Unit: "list of names", Default: `["operators"]`, Allowed: nameAllowed + ", each",
			Purpose: "Organizational units whose certificates may apply tickets; others may only read.",
		}, func(s *Settings) *[]string { return &s.TLS.OperatorWriterGroups }, checkName),
	}
}
