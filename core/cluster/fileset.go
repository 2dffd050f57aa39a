package cluster

// This file holds one instance's copy of the configuration files and the updates
// that transfer it between peers. A revision is a list of file names with the hashes
// of their contents. Contents are transferred by hash, so that a change of one file
// transfers one file. A list is sent as the difference to the requester's list if
// the sender still keeps the deltas since that list, and in full otherwise.

import (
	"maps"
	"slices"

	"burdockseam/core/config"
)

// Bounds of the transfer between two peers.
const (
	maxDeltas       = 32       // deltas that an instance keeps for requesters
	maxWantedHashes = 256      // hashes that one request may ask for
	maxPayloadBytes = 64 << 10 // contents in one response, unless its first content alone is larger
)

// Update carries a file list and file contents to a requester. Set and Removed are
// the changes from revision From to revision To, and with From 0 Set is the full
// list of To. To is 0 if the Update carries contents only.
type Update struct {
	From     uint64
	To       uint64
	Set      map[string]string
	Removed  []string
	Contents map[string][]byte
}

// delta is the difference between two file lists that one instance had in succession.
type delta struct {
	from, to uint64
	set      map[string]string
	removed  []string
}

// fileSet is the newest revision that this instance knows. The revision comes into
// force only after all of its contents have arrived and it has passed the checks.
type fileSet struct {
	revision uint64            // the revision of hashes
	hashes   map[string]string // content hashes by file name
	contents map[string][]byte // by hash
	missing  map[string]bool   // hashes whose contents have not arrived yet
	handled  uint64            // the last revision that takeComplete returned
	deltas   []delta
}

// setFileList replaces the file list by the full list of a newer revision and
// reports whether it did. It ignores a revision that is not newer, so that the
// revision never decreases.
func (s *fileSet) setFileList(revision uint64, list map[string]string) bool {
	if revision <= s.revision {
		return false
	}
	d := delta{from: s.revision, to: revision, set: map[string]string{}}
	for name, hash := range list {
		if s.hashes[name] != hash {
			d.set[name] = hash
		}
	}
	for name := range s.hashes {
		if _, ok := list[name]; !ok {
			d.removed = append(d.removed, name)
		}
	}
	if s.revision > 0 {
		s.deltas = append(s.deltas, d)
		s.deltas = s.deltas[max(0, len(s.deltas)-maxDeltas):]
	}
	s.revision, s.hashes, s.missing = revision, list, map[string]bool{}
	kept := make(map[string][]byte, len(list))
	for _, hash := range list {
		if data, ok := s.contents[hash]; ok {
			kept[hash] = data
		} else {
			s.missing[hash] = true
		}
	}
	s.contents = kept
	return true
}

// addContent stores the contents of a file and reports whether they were missing.
// It ignores data that does not match the hash.
func (s *fileSet) addContent(hash string, data []byte) bool {
	if !s.missing[hash] || config.Hash(data) != hash {
		return false
	}
	if s.contents == nil {
		s.contents = map[string][]byte{}
	}
	s.contents[hash] = data
	delete(s.missing, hash)
	return true
}

// applyUpdate merges an Update and reports whether it brought a newer list or
// missing contents.
func (s *fileSet) applyUpdate(u *Update) bool {
	progress := false
	if u.To > s.revision && (u.From == 0 || u.From == s.revision) {
		list := map[string]string{}
		if u.From != 0 {
			maps.Copy(list, s.hashes)
		}
		for _, name := range u.Removed {
			delete(list, name)
		}
		maps.Copy(list, u.Set)
		progress = s.setFileList(u.To, list)
	}
	for hash, data := range u.Contents {
		progress = s.addContent(hash, data) || progress
	}
	return progress
}

// updateSince returns the Update for a requester that has the file list of revision
// have and asks for the contents with the hashes in want. It returns nil if there is
// nothing to send.
func (s *fileSet) updateSince(have uint64, want []string) *Update {
	update := &Update{Contents: map[string][]byte{}}
	total := 0
	include := func(hash string) {
		data, ok := s.contents[hash]
		if ok && update.Contents[hash] == nil && (total == 0 || total+len(data) <= maxPayloadBytes) {
			update.Contents[hash] = data
			total += len(data)
		}
	}
	for _, hash := range want[:min(len(want), maxWantedHashes)] {
		include(hash)
	}
	if have < s.revision {
		update.To = s.revision
		i := slices.IndexFunc(s.deltas, func(d delta) bool { return d.from == have })
		if have == 0 || i < 0 {
			update.Set = s.hashes
		} else {
			update.From, update.Set = have, map[string]string{}
			removed := map[string]bool{}
			for _, d := range s.deltas[i:] {
				for name, hash := range d.set {
					update.Set[name] = hash
					delete(removed, name)
				}
				for _, name := range d.removed {
					removed[name] = true
					delete(update.Set, name)
				}
			}
			update.Removed = slices.Sorted(maps.Keys(removed))
		}
		for _, name := range slices.Sorted(maps.Keys(update.Set)) {
			include(update.Set[name])
		}
	}
	if update.To == 0 && len(update.Contents) == 0 {
		return nil
	}
	return update
}

// missingHashes returns up to n hashes of missing contents, starting at an offset
// into their sorted order. Instances use different offsets, so that they fetch
// different contents first and can then get the others from each other.
func (s *fileSet) missingHashes(n int, offset uint64) []string {
	if len(s.missing) == 0 {
		return nil
	}
	hashes := slices.Sorted(maps.Keys(s.missing))
	start := int(offset % uint64(len(hashes)))
	return append(hashes[start:len(hashes):len(hashes)], hashes[:start]...)[:min(n, len(hashes))]
}

// takeComplete returns the files of the newest revision when all contents are
// there. It returns each revision only once.
func (s *fileSet) takeComplete() ([]config.File, bool) {
	if s.revision == s.handled || len(s.missing) > 0 {
		return nil, false
	}
	s.handled = s.revision
	files := make([]config.File, 0, len(s.hashes))
	for _, name := range slices.Sorted(maps.Keys(s.hashes)) {
		files = append(files, config.File{Name: name, Data: s.contents[s.hashes[name]]})
	}
	return files, true
}
