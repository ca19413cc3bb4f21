package registrar

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
)

// MemberRecord is the value of Members/<zone>/<instance>.
type MemberRecord struct {
	assigner.Owner
	Address   string
	StartedAt time.Time
	// WriteID is the nonce of the write.
	WriteID string
}

func membersPrefix(zone describer.AvailabilityZoneID) string {
	return "Members/" + string(zone) + "/"
}

func assignmentKey(zone describer.AvailabilityZoneID) string {
	return "Zones/" + string(zone) + "/Assignment"
}

func decodeAssignment(entry keeper.Entry) (assigner.Assignment, error) {
	var record assigner.Assignment
	if entry.Version == 0 {
		return record, nil
	}
	err := json.Unmarshal(entry.Value, &record)
	return record, errors.Wrapf(err, "decode %s", entry.Key)
}

func decodeMember(entry keeper.Entry) (MemberRecord, error) {
	var member MemberRecord
	err := json.Unmarshal(entry.Value, &member)
	return member, errors.Wrapf(err, "decode %s", entry.Key)
}
