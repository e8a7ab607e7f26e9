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

// loadLog reads the whole log and the sizes, trying until it succeeds or the
// term is over.
func (n *Node) loadLog(epoch uint64) {
	for {
		durable, err := n.readDurableLog()
		if err == nil {
			n.enqueue(func(now time.Duration) { n.core.LogLoaded(now, epoch, durable) })
			return
		}
		n.log.Warn("durable state not read", "epoch", epoch, "error", err)
		time.Sleep(150*time.Millisecond + rand.N(150*time.Millisecond))
		over := make(chan bool, 1)
		n.enqueue(func(time.Duration) { over <- n.core.term == nil || n.core.term.Epoch != epoch })
		if <-over {
			return
		}
	}
}

func (n *Node) readDurableLog() (term.LoadedLog, error) {
	var d term.LoadedLog
	err := n.readPrefix(eventlog.Prefix, func(it wire.Item) error {
		list, err := decodeSegment(it)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, list...)
		d.Last, err = eventlog.SegmentNumber(it.Key)
		if d.First == 0 {
			d.First = d.Last
		}
		return err
	})
	if err != nil {
		return term.LoadedLog{}, err
	}
	var pieces []wire.Item
	if err := n.readPrefix(eventlog.SizesPrefix, func(it wire.Item) error { pieces = append(pieces, it); return nil }); err != nil {
		return term.LoadedLog{}, err
	}
	// A piece of an earlier list, by whatever version, must not overrule a newer one.
	slices.SortFunc(pieces, func(a, b wire.Item) int { return cmp.Compare(a.Mark, b.Mark) })
	for _, it := range pieces {
		var v eventlog.VirtualSizes
		if err := json.Unmarshal(it.Value, &v); err != nil {
			return term.LoadedLog{}, fmt.Errorf("%s: %w", it.Key, err)
		}
		n, err := eventlog.SizesNumber(it.Key)
		if err != nil {
			return term.LoadedLog{}, err
		}
		d.Sizes = append(d.Sizes, v.Sizes...)
		d.Pieces = max(d.Pieces, n+1)
	}
	return d, nil
}

// pageItems is how many keys are asked for at once; the state service gives
// fewer where they are large.
const keysPageSize = 256

// decodeSegment reads one segment.
func decodeSegment(it wire.Item) ([]eventlog.Entry, error) {
	list, err := eventlog.Decode(it.Value)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", it.Key, err)
	}
	return list, nil
}

// readSegments reads the segments numbered first to end-1; some may be missing.
func (n *Node) readSegments(ctx context.Context, first, end int) ([]eventlog.Entry, error) {
	items, _, _, err := n.state.List(ctx, eventlog.Prefix, eventlog.SegmentKey(first-1), end-first)
	if err != nil {
		return nil, err
	}
	var entries []eventlog.Entry
	for _, it := range items {
		if it.Key >= eventlog.SegmentKey(end) {
			break
		}
		list, err := decodeSegment(it)
		if err != nil {
			return nil, err
		}
		entries = append(entries, list...)
	}
	return entries, nil
}

// pageValues is how many of a duty's own values are read at once: nothing waits for
// them, and the answer should not crowd out others.
const valuesPageSize = 16

// readValues reads a page of a duty's own values.
func (n *Node) readValues(ctx context.Context, duty, since string) ([]eventlog.Value, bool, error) {
	items, more, _, err := n.state.List(ctx, eventlog.ValuePrefix(duty), since, valuesPageSize)
	if err != nil {
		return nil, false, err
	}
	list := make([]eventlog.Value, len(items))
	for i, it := range items {
		list[i] = eventlog.Value{Key: it.Key, Data: it.Value}
	}
	return list, more && len(items) > 0, nil
}

func (n *Node) readPrefix(prefix string, each func(wire.Item) error) error {
	since := ""
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		items, more, _, err := n.state.List(ctx, prefix, since, keysPageSize)
		cancel()
		if err != nil {
			return err
		}
		for _, it := range items {
			if err := each(it); err != nil {
				return err
			}
			since = it.Key
		}
		if !more || len(items) == 0 {
			return nil
		}
	}
}
