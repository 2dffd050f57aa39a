package placement

// This file caches the first instances of rankings, since ranking all instances
// for each decision costs too much in a large fleet. When the fleet changes, the cached
// rankings are updated where that is possible.

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// PrefixLength is the number of instances that a RankCache keeps for a ranking. All of
// them are unreachable only after the loss of many instances; then the whole ranking is
// computed.
const PrefixLength = 12

// RankCache caches rankings of the instances of a fleet. It is safe for concurrent use.
type RankCache struct {
	instances []Instance

	mu       sync.Mutex
	prefixes map[rankKey]prefix
}

// rankKey identifies a ranking: the arguments of Rank besides the instances.
type rankKey struct {
	key   string
	place Place
}

// prefix is the first part of a ranking. It is immutable.
type prefix []rankedInstance

// rankedInstance is an instance with its sort keys in a ranking.
type rankedInstance struct {
	Instance
	distance int
	hash     uint64
}

func newRankedInstance(key rankKey, in Instance) rankedInstance {
	r := rankedInstance{Instance: in, hash: xxhash.Sum64String(key.key + "\x00" + in.Address)}
	if key.place != (Place{}) {
		r.distance = key.place.Distance(Place{in.Domain, in.Region})
	}
	return r
}

func (r rankedInstance) compare(o rankedInstance) int {
	return cmp.Or(cmp.Compare(r.distance, o.distance), cmp.Compare(o.hash, r.hash), cmp.Compare(r.Address, o.Address))
}

// NewRankCache returns an empty cache for the instances of a fleet. The list must not be
// modified afterwards.
func NewRankCache(list []Instance) *RankCache {
	return &RankCache{instances: list, prefixes: make(map[rankKey]prefix)}
}

// Walk calls yield for the instances in the order of Rank until yield returns false.
func (c *RankCache) Walk(key string, at Place, yield func(Instance) bool) {
	first := c.prefix(rankKey{key, at})
	for _, r := range first {
		if !yield(r.Instance) {
			return
		}
	}
	if len(first) == len(c.instances) {
		return
	}
	for _, in := range Rank(key, at, c.instances)[len(first):] {
		if !yield(in) {
			return
		}
	}
}

// Top returns the first n instances of a ranking, or all if there are fewer.
func (c *RankCache) Top(key string, at Place, n int) []Instance {
	n = min(n, len(c.instances))
	out := make([]Instance, 0, n)
	c.Walk(key, at, func(in Instance) bool {
		if len(out) < n {
			out = append(out, in)
		}
		return len(out) < n
	})
	return out
}

func (c *RankCache) prefix(key rankKey) prefix {
	c.mu.Lock()
	first, ok := c.prefixes[key]
	c.mu.Unlock()
	if ok {
		return first
	}
	ranked := rankInstances(key, c.instances)
	// A copy, so that the whole ranking is not kept in memory.
	first = slices.Clone(ranked[:min(PrefixLength, len(ranked))])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes[key] = first
	return first
}

// WithInstances returns a cache for a changed fleet. It carries over the cached rankings,
// unless more than a quarter of the instances changed.
func (c *RankCache) WithInstances(list []Instance) *RankCache {
	if slices.Equal(c.instances, list) {
		return c
	}
	next := NewRankCache(list)
	present := make(map[Instance]bool, len(list))
	for _, in := range list {
		present[in] = true
	}
	removed := make(map[Instance]bool)
	for _, in := range c.instances {
		if !present[in] {
			removed[in] = true
		}
		delete(present, in)
	}
	added := present // the instances that were not in the old list
	if len(removed)+len(added) > len(list)/4 {
		return next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, first := range c.prefixes {
		if changed, ok := first.withChanges(key, removed, added, len(c.instances)); ok {
			next.prefixes[key] = changed
		}
	}
	return next
}

// withChanges returns the prefix after instances were removed from and added to the fleet,
// which had sizeBefore instances. It reports false if too little of the new ranking is
// known.
func (p prefix) withChanges(key rankKey, removed, added map[Instance]bool, sizeBefore int) (prefix, bool) {
	complete := len(p) == sizeBefore
	out := p
	if slices.ContainsFunc(p, func(r rankedInstance) bool { return removed[r.Instance] }) {
		out = slices.DeleteFunc(slices.Clone(p), func(r rankedInstance) bool { return removed[r.Instance] })
	}
	for in := range added {
		r := newRankedInstance(key, in)
		k, _ := slices.BinarySearchFunc(out, r, rankedInstance.compare)
		// Past the end of an incomplete prefix, instances that are not in it may rank higher.
		if k < len(out) || complete {
			out = slices.Insert(slices.Clone(out), k, r)
		}
	}
	if len(out) > PrefixLength {
		out = out[:PrefixLength:PrefixLength]
	}
	return out, complete || len(out) >= PrefixLength/2
}
