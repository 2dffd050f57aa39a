// Package placement decides which instances serve as gateways of an upstream and which
// instance acts for a group. The decisions need no agreement: while instances know
// different fleets they place work differently, which costs connections but does not
// affect correctness.
package placement

import "slices"

// Instance is a running instance of the fleet.
type Instance struct {
	// ID identifies one run of the instance.
	ID      string
	Address string
	Domain  string
	Region  string
}

// Place is a failure domain and its region.
type Place struct{ Domain, Region string }

// Distance returns 0 within a failure domain, 1 within a region and 2 between regions.
func (p Place) Distance(o Place) int {
	switch {
	case p.Domain == o.Domain:
		return 0
	case p.Region == o.Region:
		return 1
	}
	return 2
}

// Rank orders the instances for a key: those nearest to the place first, and instances at
// the same distance by rendezvous hashing of their addresses, so that the loss of an
// instance moves only the keys for which it ranked first. A zero place ranks by the hash
// alone.
func Rank(key string, at Place, instances []Instance) []Instance {
	ranked := rankInstances(rankKey{key, at}, instances)
	out := make([]Instance, len(ranked))
	for i, r := range ranked {
		out[i] = r.Instance
	}
	return out
}

func rankInstances(key rankKey, instances []Instance) []rankedInstance {
	ranked := make([]rankedInstance, len(instances))
	for i, in := range instances {
		ranked[i] = newRankedInstance(key, in)
	}
	slices.SortFunc(ranked, rankedInstance.compare)
	return ranked
}

// IsAmongFirstEligible reports whether the instance at the address is among the first n
// eligible instances of the list. It counts as eligible itself.
func IsAmongFirstEligible(instances []Instance, address string, n int, eligible func(address string) bool) bool {
	for _, i := range instances {
		switch {
		case i.Address == address:
			return n > 0
		case eligible(i.Address):
			n--
		}
	}
	return false
}
