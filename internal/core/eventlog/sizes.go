package eventlog

import (
	"encoding/json"
	"fmt"
)

// SizesPrefix is the prefix of the keys of the pieces of the virtual sizes.
const SizesPrefix = "sizes/"

// sizesOverhead is the number of bytes of a piece besides the sizes.
const sizesOverhead = 16

// VirtualSizes is the value of one piece of the virtual sizes.
type VirtualSizes struct {
	Sizes []VirtualSize `json:"v"`
}

// VirtualSize is a job's estimated size and the part of it that remains in the scheduler's virtual
// cluster.
type VirtualSize struct {
	ID      uint64  `json:"i"`
	Size    float64 `json:"s"`
	Virtual float64 `json:"v"`
}

// SizesPieceNumber returns the number of the piece of virtual sizes with a key.
func SizesPieceNumber(key string) (int, error) { return keyNumber(key, SizesPrefix) }

func sizesPieceKey(number int) string { return fmt.Sprintf("%s%04d", SizesPrefix, number) }

// SetVirtualSizes queues the virtual sizes of all jobs in pieces: each commit includes as many pieces as
// it has room for, and a newer list replaces the pending pieces of an older one. Jobs should be passed
// in a stable order, so that few of them move to another piece: until all pieces are written, some
// pieces are those of the previous list.
func (l *Log) SetVirtualSizes(all []VirtualSize) {
	l.dropPendingSizes()
	pieces := splitSizes(all, l.segmentCapacity())
	for number, piece := range pieces {
		l.pendingSizes = append(l.pendingSizes, Write{Key: sizesPieceKey(number), Value: encodeSizes(piece)})
	}
	l.wantedPieces = len(pieces)
	l.storedPieces = max(l.storedPieces, l.wantedPieces)
	for number := l.wantedPieces; number < l.storedPieces; number++ {
		l.pendingSizes = append(l.pendingSizes, Write{Key: sizesPieceKey(number), Remove: true})
	}
}

// dropPendingSizes drops the pending pieces of a list of sizes. The next list replaces them, with the
// piece size that is in force by then.
func (l *Log) dropPendingSizes() {
	l.sizesGeneration++
	l.pendingSizes = nil
}

// splitSizes splits sizes into pieces of at most room bytes of JSON each. The last may be empty.
func splitSizes(all []VirtualSize, room int) [][]VirtualSize {
	var pieces [][]VirtualSize
	var piece []VirtualSize
	used := sizesOverhead
	for _, size := range all {
		raw, _ := json.Marshal(size) // an encoding error is handled in encodeSizes
		if used+len(raw)+1 > room {
			pieces = append(pieces, piece)
			piece, used = nil, sizesOverhead
		}
		used += len(raw) + 1
		piece = append(piece, size)
	}
	return append(pieces, piece)
}

func encodeSizes(piece []VirtualSize) json.RawMessage {
	raw, err := json.Marshal(VirtualSizes{Sizes: piece})
	if err != nil {
		panic(fmt.Sprintf("event log: sizes not encodable: %v", err)) // sizes are finite numbers
	}
	return raw
}
