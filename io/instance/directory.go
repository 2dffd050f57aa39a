package instance

// The directory caches the link and operator addresses of other instances. A description
// is requested once and kept until a link to its instance fails.

import (
	"context"
	"sync"
)

// directory caches the descriptions of other instances by their peer addresses.
type directory struct {
	in *Instance

	mu           sync.Mutex
	descriptions map[string]Description
}

// linkAddress returns the link address of the instance with the peer address.
func (d *directory) linkAddress(ctx context.Context, address string) (string, error) {
	desc, err := d.describe(ctx, address)
	return desc.Link, err
}

// describe returns the known description of an instance, or requests it.
func (d *directory) describe(ctx context.Context, address string) (Description, error) {
	d.mu.Lock()
	desc, ok := d.descriptions[address]
	d.mu.Unlock()
	if ok {
		return desc, nil
	}
	return d.refresh(ctx, address)
}

// refresh requests the description of an instance even if one is known. If the instance
// does not answer, the known description is returned with the error.
func (d *directory) refresh(ctx context.Context, address string) (Description, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var desc Description
	if err := d.in.peers.Call(ctx, address, "Node.Describe", Nothing{}, &desc); err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.descriptions[address], Error.Wrap(err)
	}
	d.mu.Lock()
	d.descriptions[address] = desc
	d.mu.Unlock()
	return desc, nil
}

// forget drops the description of an instance, which may have restarted.
func (d *directory) forget(address string) {
	d.mu.Lock()
	delete(d.descriptions, address)
	d.mu.Unlock()
}
