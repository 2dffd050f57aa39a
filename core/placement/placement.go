// Package placement decides which instances serve as gateways of an upstream and which
// instance acts for a group. The decisions need no agreement: instances whose tables
// differ place work differently for a while, which costs connections but breaks no
// promise.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a live instance.
type Instance struct {
	// ID names one run of the instance.
	ID      string
	Address string
	Domain  string
	Region  string
}

// Place is a failure domain in its region.
type Place struct{ Domain, Region string }

// Distance orders places seen from another one.
func (p Place) Distance(o Place) int {
	switch {
	case p.Domain == o.Domain:
		return 0
	case p.Region == o.Region:
		return 1
	}
	return 2
}

// Rank orders the instances for a key: those nearest to the place first, equally near
// ones by rendezvous hashing of their addresses, so that the loss of an instance moves
// only the keys that it held. A zero place ranks by the hash alone.
func Rank(key string, at Place, list []Instance) []Instance {
	type row struct {
		Instance
		distance int
		hash     uint64
	}
	rows := make([]row, len(list))
	for i, in := range list {
		rows[i] = row{Instance: in, hash: xxhash.Sum64String(key + "\x00" + in.Address)}
		if at != (Place{}) {
			rows[i].distance = at.Distance(Place{in.Domain, in.Region})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Address, b.Address))
	})
	out := make([]Instance, len(rows))
	for i, r := range rows {
		out[i] = r.Instance
	}
	return out
}

// Leading reports whether the instance at an address is one of the first n in the list
// that are fit. It counts as fit itself.
func Leading(list []Instance, address string, n int, fit func(address string) bool) bool {
	for _, i := range list {
		switch {
		case i.Address == address:
			return n > 0
		case fit(i.Address):
			n--
		}
	}
	return false
}
