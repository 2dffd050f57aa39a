package node

// Patches send the new content of a large object as its difference from the content that the
// receiver has. The configuration is one object, and most of its changes are small.

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// minPatchedSize is the size in bytes from which objects are sent as patches. Smaller
	// ones fit into a few packets.
	minPatchedSize = 4 << 10
	// maxPatchedSize bounds the memory for the content that a received patch describes.
	maxPatchedSize = 64 << 20
	// maxKeptBytes and maxKeptContents bound the former contents that an instance can send
	// patches for. An instance whose copy is older receives the whole content.
	maxKeptBytes    = 8 << 20
	maxKeptContents = 16
	// baseDictionary is the ID under which the zstd format refers to the former content.
	baseDictionary = 1
)

// Patch describes the content of an object by a former content of the same object.
type Patch struct {
	Name     string
	Revision uint64
	// Base is the hash of the former content, or 0 if the patch needs none.
	Base uint64
	// Sum is the hash of the content.
	Sum uint64
	// Data is the content in the format of RFC 8878, with the former content as a raw
	// dictionary.
	Data []byte
}

// contents keeps the former contents of large objects and the patches that were made from
// them.
type contents struct {
	mu      sync.Mutex
	byHash  map[uint64][]byte
	order   []uint64 // hashes in the order in which the contents became known
	bytes   int
	patches map[patchKey][]byte
}

// patchKey names a patch by the hashes of the contents before and after it.
type patchKey struct{ base, sum uint64 }

func newContents() *contents {
	return &contents{byHash: make(map[uint64][]byte), patches: make(map[patchKey][]byte)}
}

// keep adds a content, unless it is known or small. The oldest ones are dropped if there are
// too many.
func (c *contents) keep(data []byte) {
	if len(data) < minPatchedSize {
		return
	}
	sum := xxhash.Sum64(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byHash[sum]; ok {
		return
	}
	c.byHash[sum] = data
	c.order = append(c.order, sum)
	c.bytes += len(data)
	for len(c.order) > maxKeptContents || c.bytes > maxKeptBytes && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.byHash[oldest])
		delete(c.byHash, oldest)
	}
	clear(c.patches)
}

// patch returns a patch for an object. The receiver has the content with the hash base.
func (c *contents) patch(o Object, base uint64) (Patch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, ok := c.byHash[base]
	if !ok {
		base = 0
	}
	p := Patch{Name: o.Name, Revision: o.Revision, Base: base, Sum: xxhash.Sum64(o.Data)}
	key := patchKey{base, p.Sum}
	if p.Data = c.patches[key]; p.Data != nil {
		return p, nil
	}
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if base != 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseDictionary, before))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return p, Error.Wrap(err)
	}
	defer e.Close()
	p.Data = e.EncodeAll(o.Data, nil)
	c.patches[key] = p.Data
	return p, nil
}

// apply returns the object that a patch describes. It fails if the former content is not
// known or the result differs from what the sender described.
func (c *contents) apply(p Patch) (Object, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPatchedSize), zstd.WithDecoderLowmem(true)}
	if p.Base != 0 {
		c.mu.Lock()
		before, ok := c.byHash[p.Base]
		c.mu.Unlock()
		if !ok {
			return Object{}, Error.New("patch of %q: the former content is not known", p.Name)
		}
		options = append(options, zstd.WithDecoderDictRaw(baseDictionary, before))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return Object{}, Error.Wrap(err)
	}
	defer d.Close()
	data, err := d.DecodeAll(p.Data, nil)
	if err != nil {
		return Object{}, Error.Wrap(err)
	}
	if xxhash.Sum64(data) != p.Sum {
		return Object{}, Error.New("patch of %q: the content differs from the sender's", p.Name)
	}
	return Object{Name: p.Name, Revision: p.Revision, Data: data}, nil
}

// withPatches replaces the large objects of an update by patches for an instance that has the
// contents with the given hashes, by the objects' names.
func (c *contents) withPatches(u Update, has map[string]uint64) Update {
	small := make(map[string]Object, len(u.Objects))
	for name, o := range u.Objects {
		if len(o.Data) >= minPatchedSize {
			if p, err := c.patch(o, has[name]); err == nil {
				u.Patches = append(u.Patches, p)
				continue
			}
		}
		small[name] = o
	}
	u.Objects = small
	return u
}

// withObjects replaces the patches of an update by the objects that they describe.
func (c *contents) withObjects(u Update) (Update, error) {
	if len(u.Patches) == 0 {
		return u, nil
	}
	objects := make(map[string]Object, len(u.Objects)+len(u.Patches))
	for name, o := range u.Objects {
		objects[name] = o
	}
	for _, p := range u.Patches {
		o, err := c.apply(p)
		if err != nil {
			return u, err
		}
		objects[o.Name] = o
	}
	u.Objects, u.Patches = objects, nil
	return u, nil
}
