package distributor

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	ticketsPrefix   = "Configuration/Tickets/"
	snapshotsPrefix = "Configuration/Snapshots/"
)

// ticketKey returns the store key of a ticket. The number is padded with zeros so that keys sort like numbers.
func ticketKey(number int64) string {
	return fmt.Sprintf("%s%012d", ticketsPrefix, number)
}

// partKey returns the store key of one part of the snapshot after a ticket.
func partKey(number int64, part int) string {
	return fmt.Sprintf("%s%012d/%05d", snapshotsPrefix, number, part)
}

// ticketNumber returns the number in the store key of a ticket.
func ticketNumber(key string) (int64, bool) {
	number, err := strconv.ParseInt(strings.TrimPrefix(key, ticketsPrefix), 10, 64)
	return number, err == nil && number > 0
}
