package eventlog

import (
	"encoding/json"
	"fmt"
)

// SizesPrefix is where the keys of the virtual sizes' pieces begin.
const SizesPrefix = "sizes/"

// sizesOverhead is how many bytes of a piece are not sizes.
const sizesOverhead = 16

// VirtualSizes is the value of one piece of the virtual sizes.
type VirtualSizes struct {
	Sizes []VirtualSize `json:"v"`
}

// VirtualSize is a job's estimated size and what is left of it in the scheduler's virtual
// cluster.
type VirtualSize struct {
	ID      uint64  `json:"i"`
	Size    float64 `json:"s"`
	Virtual float64 `json:"v"`
}

// SizesPieceNumber is the number of the piece of virtual sizes with a key.
func SizesPieceNumber(key string) (int, error) { return keyNumber(key, SizesPrefix) }

func sizesPieceKey(number int) string { return fmt.Sprintf("%s%04d", SizesPrefix, number) }

// SetVirtualSizes queues the virtual sizes of all jobs, in pieces: each commit takes along as many
// as it has room for, and a newer list replaces what is left of an older one. Jobs should come in
// a steady order, so that few change their piece: until all pieces are written, some are of the
// list before.
func (l *Log) SetVirtualSizes(all []VirtualSize) {
	l.dropPendingSizes()
	pieces := splitSizes(all, l.segmentCapacity())
	for number, piece := range pieces {
		l.pendingSizes = append(l.pendingSizes, Write{Key: sizesPieceKey(number), Value: encodeSizes(piece)})
	}
	l.wantedSizes = len(pieces)
	l.storedSizes = max(l.storedSizes, l.wantedSizes)
	for number := l.wantedSizes; number < l.storedSizes; number++ {
		l.pendingSizes = append(l.pendingSizes, Write{Key: sizesPieceKey(number), Remove: true})
	}
}

// dropPendingSizes leaves out what is left of a list of sizes: the next one replaces it, in pieces
// of the size that then holds.
func (l *Log) dropPendingSizes() {
	l.sizesGeneration++
	l.pendingSizes = nil
}

// splitSizes splits sizes into pieces of at most room bytes as JSON. The last may be empty.
func splitSizes(all []VirtualSize, room int) [][]VirtualSize {
	var pieces [][]VirtualSize
	var piece []VirtualSize
	used := sizesOverhead
	for _, size := range all {
		raw, _ := json.Marshal(size) // what cannot be encoded fails in encodeSizes
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
