// Package placement decides which instances serve as gateways of an upstream and which
// instance acts for a group. The decisions need no agreement: instances whose tables
// differ place work differently for a while, which costs connections but breaks no
// promise.
package placement

import "slices"

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
	rows := rank(query{key, at}, list)
	out := make([]Instance, len(rows))
	for i, r := range rows {
		out[i] = r.Instance
	}
	return out
}

func rank(q query, list []Instance) []row {
	rows := make([]row, len(list))
	for i, in := range list {
		rows[i] = newRow(q, in)
	}
	slices.SortFunc(rows, row.compare)
	return rows
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
