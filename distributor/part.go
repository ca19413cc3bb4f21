package distributor

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// partBytes is the amount of compressed snapshot in one part. Base64 and the other fields of the part enlarge it to
// about 935 kB, below the store's 1 MB per value.
const partBytes = 700_000

// part is one part of a snapshot as the store holds it.
type part struct {
	Number int64
	Part   int
	Parts  int
	// Digest is that of the whole snapshot, so that parts of different writers are never mixed.
	Digest  string
	WriteID string
	Data    []byte
}

// partsOf encodes a snapshot.
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

// latestSnapshot returns the highest complete snapshot among the entries of the store.
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
