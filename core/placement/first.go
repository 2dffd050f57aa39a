package placement

// First keeps the first instances of the ranks of many keys, since ranking a whole fleet
// for each decision costs too much in a large one. A changed fleet carries over what the
// change does not touch.

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Depth is the number of instances that First keeps for a key. All of them are out of
// reach only after a loss of many instances, when the whole rank is worked out.
const Depth = 12

// First is safe for use by many goroutines.
type First struct {
	list []Instance

	mu    sync.Mutex
	heads map[query]head
}

// query is what a rank is asked for by.
type query struct {
	key string
	at  Place
}

// head is the begin of a rank. It is not changed after it was built.
type head []row

// row is an instance with what orders it.
type row struct {
	Instance
	distance int
	hash     uint64
}

func newRow(q query, in Instance) row {
	r := row{Instance: in, hash: xxhash.Sum64String(q.key + "\x00" + in.Address)}
	if q.at != (Place{}) {
		r.distance = q.at.Distance(Place{in.Domain, in.Region})
	}
	return r
}

func (r row) compare(o row) int {
	return cmp.Or(cmp.Compare(r.distance, o.distance), cmp.Compare(o.hash, r.hash), cmp.Compare(r.Address, o.Address))
}

// NewFirst returns a First for a fleet. The list must not be changed afterwards.
func NewFirst(list []Instance) *First {
	return &First{list: list, heads: make(map[query]head)}
}

// Walk calls yield for the instances in the order of Rank until it returns false.
func (f *First) Walk(key string, at Place, yield func(Instance) bool) {
	h := f.head(query{key, at})
	for _, r := range h {
		if !yield(r.Instance) {
			return
		}
	}
	if len(h) == len(f.list) {
		return
	}
	for _, in := range Rank(key, at, f.list)[len(h):] {
		if !yield(in) {
			return
		}
	}
}

// Top returns the first n instances of a rank, or all if there are fewer.
func (f *First) Top(key string, at Place, n int) []Instance {
	n = min(n, len(f.list))
	out := make([]Instance, 0, n)
	f.Walk(key, at, func(in Instance) bool {
		if len(out) < n {
			out = append(out, in)
		}
		return len(out) < n
	})
	return out
}

func (f *First) head(q query) head {
	f.mu.Lock()
	h, ok := f.heads[q]
	f.mu.Unlock()
	if ok {
		return h
	}
	rows := rank(q, f.list)
	h = slices.Clone(rows[:min(Depth, len(rows))]) // the whole rank is not kept
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads[q] = h
	return h
}

// With returns a First for a changed fleet.
func (f *First) With(list []Instance) *First {
	if slices.Equal(f.list, list) {
		return f
	}
	next := NewFirst(list)
	present := make(map[Instance]bool, len(list))
	for _, in := range list {
		present[in] = true
	}
	gone := make(map[Instance]bool)
	for _, in := range f.list {
		if !present[in] {
			gone[in] = true
		}
		delete(present, in)
	}
	added := present // what is left
	if len(gone)+len(added) > len(list)/4 {
		return next
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for q, h := range f.heads {
		if changed, ok := h.with(q, gone, added, len(f.list)); ok {
			next.heads[q] = changed
		}
	}
	return next
}

// with returns the begin of the rank of a changed fleet, unless too little of it is known.
func (h head) with(q query, gone, added map[Instance]bool, before int) (head, bool) {
	all := len(h) == before
	out := h
	if slices.ContainsFunc(h, func(r row) bool { return gone[r.Instance] }) {
		out = slices.DeleteFunc(slices.Clone(h), func(r row) bool { return gone[r.Instance] })
	}
	for in := range added {
		r := newRow(q, in)
		k, _ := slices.BinarySearchFunc(out, r, row.compare)
		// Behind the end of a begin there may be others first.
		if k < len(out) || all {
			out = slices.Insert(slices.Clone(out), k, r)
		}
	}
	if len(out) > Depth {
		out = out[:Depth:Depth]
	}
	return out, all || len(out) >= Depth/2
}
