package node

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/wire"
)

const (
	// keysPageSize is the number of keys requested per page while the log is loaded. The state
	// service returns fewer if their values are large.
	keysPageSize = 256
	// valuesPageSize is the number of a component's own values requested per page. It is small
	// because nothing waits for them, and their transfer should not delay other calls.
	valuesPageSize = 16

	pageTimeout = 3 * time.Second
	// The delay between attempts to load the log is minLoadRetryDelay plus a random part.
	minLoadRetryDelay    = 150 * time.Millisecond
	randomLoadRetryDelay = 150 * time.Millisecond
)

// loadLog reads the whole log and the virtual sizes, and retries until it succeeds or the term with
// the given epoch has ended.
func (n *Node) loadLog(ctx context.Context, epoch uint64) {
	for {
		log, err := n.readDurableLog(ctx)
		if err == nil {
			n.enqueue(ctx, func(now time.Duration) { n.core.LogLoaded(now, epoch, log) })
			return
		}
		n.log.Warn("event log not read, retrying", "epoch", epoch, "error", err)
		sleep(ctx, minLoadRetryDelay+rand.N(randomLoadRetryDelay))
		if n.termOver(ctx, epoch) {
			return
		}
	}
}

// termOver reports whether the term with the given epoch has ended. It asks the loop, and returns
// true if the context ends.
func (n *Node) termOver(ctx context.Context, epoch uint64) bool {
	over := make(chan bool, 1)
	n.enqueue(ctx, func(time.Duration) { over <- n.core.term == nil || n.core.term.Epoch != epoch })
	select {
	case isOver := <-over:
		return isOver
	case <-ctx.Done():
		return true
	}
}

// readDurableLog reads the segments of the log, and then the virtual sizes.
func (n *Node) readDurableLog(ctx context.Context) (term.LoadedLog, error) {
	var log term.LoadedLog
	err := n.readPrefix(ctx, eventlog.Prefix, func(item wire.Item) error { return addSegment(&log, item) })
	if err != nil {
		return term.LoadedLog{}, err
	}
	var pieces []wire.Item
	err = n.readPrefix(ctx, eventlog.SizesPrefix, func(item wire.Item) error {
		pieces = append(pieces, item)
		return nil
	})
	if err != nil {
		return term.LoadedLog{}, err
	}
	// The pieces are sorted by version, so that a piece left over from an earlier list never overrides
	// a newer one, whichever version of the controller wrote it.
	slices.SortFunc(pieces, func(a, b wire.Item) int { return cmp.Compare(a.Version, b.Version) })
	for _, piece := range pieces {
		if err := addSizes(&log, piece); err != nil {
			return term.LoadedLog{}, err
		}
	}
	return log, nil
}

func addSegment(log *term.LoadedLog, item wire.Item) error {
	entries, err := decodeSegment(item)
	if err != nil {
		return err
	}
	log.Entries = append(log.Entries, entries...)
	log.Last, err = eventlog.SegmentNumber(item.Key)
	if log.First == 0 {
		log.First = log.Last
	}
	return err
}

func addSizes(log *term.LoadedLog, piece wire.Item) error {
	var sizes eventlog.VirtualSizes
	if err := json.Unmarshal(piece.Value, &sizes); err != nil {
		return fmt.Errorf("decode virtual sizes %s: %w", piece.Key, err)
	}
	number, err := eventlog.SizesPieceNumber(piece.Key)
	if err != nil {
		return err
	}
	log.Sizes = append(log.Sizes, sizes.Sizes...)
	log.VirtualSizePieces = max(log.VirtualSizePieces, number+1)
	return nil
}

func decodeSegment(item wire.Item) ([]eventlog.Entry, error) {
	entries, err := eventlog.Decode(item.Value)
	if err != nil {
		return nil, fmt.Errorf("decode event log segment %s: %w", item.Key, err)
	}
	return entries, nil
}

// readSegments reads the segments numbered first to end-1. Some of them may not exist.
func (n *Node) readSegments(ctx context.Context, first, end int) ([]eventlog.Entry, error) {
	items, _, _, err := n.state.List(ctx, eventlog.Prefix, eventlog.SegmentKey(first-1), end-first)
	if err != nil {
		return nil, err
	}
	var entries []eventlog.Entry
	for _, item := range items {
		if item.Key >= eventlog.SegmentKey(end) {
			break
		}
		segment, err := decodeSegment(item)
		if err != nil {
			return nil, err
		}
		entries = append(entries, segment...)
	}
	return entries, nil
}

// readValues reads the page of a component's own values after afterKey. more reports whether there
// are further pages.
func (n *Node) readValues(
	ctx context.Context, component, afterKey string,
) (values []eventlog.ComponentValue, more bool, err error) {
	items, more, _, err := n.state.List(ctx, eventlog.ComponentValuePrefix(component), afterKey, valuesPageSize)
	if err != nil {
		return nil, false, err
	}
	values = make([]eventlog.ComponentValue, len(items))
	for i, item := range items {
		values[i] = eventlog.ComponentValue{Key: item.Key, Data: item.Value}
	}
	return values, more && len(items) > 0, nil
}

// readPrefix reads all keys with a prefix in order, page by page, and calls handle for every item.
func (n *Node) readPrefix(ctx context.Context, prefix string, handle func(wire.Item) error) error {
	afterKey := ""
	for {
		items, more, err := n.readPage(ctx, prefix, afterKey)
		if err != nil {
			return err
		}
		for _, item := range items {
			if err := handle(item); err != nil {
				return err
			}
			afterKey = item.Key
		}
		if !more || len(items) == 0 {
			return nil
		}
	}
}

func (n *Node) readPage(ctx context.Context, prefix, afterKey string) (items []wire.Item, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	items, more, _, err = n.state.List(ctx, prefix, afterKey, keysPageSize)
	return items, more, err
}
