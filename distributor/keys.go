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

// ticketKey pads the number so that keys sort like numbers.
func ticketKey(number int64) string {
	return fmt.Sprintf("%s%012d", ticketsPrefix, number)
}

func partKey(number int64, part int) string {
	return fmt.Sprintf("%s%012d/%05d", snapshotsPrefix, number, part)
}

func ticketNumber(key string) (int64, bool) {
	number, err := strconv.ParseInt(strings.TrimPrefix(key, ticketsPrefix), 10, 64)
	return number, err == nil && number > 0
}
