package distributor

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// partBytes is the size of the compressed data in one part. Base64 and the other fields of the part enlarge it to about
// 935 kB, which is below the store's limit of 1 MiB per value.
const partBytes = 700_000

// part is one part of a snapshot as it is stored.
type part struct {
	// Number is the number of the last ticket that the snapshot contains.
	Number int64
	// Part is the index of this part, from 0, and Parts the number of all parts.
	Part  int
	Parts int
	// Digest is the digest of the whole encoded snapshot, so that parts of different writers are never combined.
	Digest  string
	WriteID string
	Data    []byte
}

// partsOf encodes a snapshot and splits it into parts.
func partsOf(snapshot ticketer.Snapshot, writeID string) ([]part, error) {
	encoded, err := encodeSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	digest := digestOf(encoded)
	var parts []part
	for data := range slices.Chunk(encoded, partBytes) {
		parts = append(parts, part{
			Number: snapshot.Applied, Part: len(parts), Digest: digest, WriteID: writeID, Data: data,
		})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// latestSnapshot returns the complete snapshot with the highest number among the entries of the store.
func latestSnapshot(entries []keeper.Entry) (ticketer.Snapshot, bool) {
	byNumber := make(map[int64][]part)
	for _, entry := range entries {
		var one part
		if err := json.Unmarshal(entry.Value, &one); err != nil {
			continue
		}
		byNumber[one.Number] = append(byNumber[one.Number], one)
	}
	var latest ticketer.Snapshot
	for number, parts := range byNumber {
		if number <= latest.Applied {
			continue
		}
		if snapshot, ok := assembled(parts); ok {
			latest = snapshot
		}
	}
	return latest, latest.Applied > 0
}

// assembled joins and decodes the parts of one snapshot. It returns false if a part is missing, damaged or belongs to
// another writer.
func assembled(parts []part) (ticketer.Snapshot, bool) {
	slices.SortFunc(parts, func(a, b part) int { return a.Part - b.Part })
	var encoded []byte
	for i, one := range parts {
		if one.Part != i || one.Parts != len(parts) || one.Digest != parts[0].Digest {
			return ticketer.Snapshot{}, false
		}
		encoded = append(encoded, one.Data...)
	}
	if digestOf(encoded) != parts[0].Digest {
		return ticketer.Snapshot{}, false
	}
	snapshot, err := decodeSnapshot(encoded)
	return snapshot, err == nil
}
