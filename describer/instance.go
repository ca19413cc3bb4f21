package describer

// Instance describes one entry instance.
type Instance struct {
	ID               InstanceID
	AvailabilityZone AvailabilityZoneID
	Incarnation      Incarnation
	PeerAddress      string
	OperatorAddress  string
	RelayAddress     string
}
