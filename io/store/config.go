package store

import (
	"context"
	"errors"

	"burdockseam/core/config"
)

// ConfigStore returns an adapter of the client to the interface of package config.
func (c *Client) ConfigStore() config.Store { return configStore{c} }

// configStore implements config.Store.
type configStore struct{ *Client }

// Get implements config.Store. The version of a missing object is 0.
func (s configStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	o, err := s.Client.Get(ctx, key)
	if NotFound.Has(err) {
		return nil, 0, nil
	}
	return o.Value, o.Version, err
}

// Put implements config.Store.
func (s configStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := s.Client.Put(ctx, key, value, ifVersion)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return 0, config.ErrVersionMismatch
	}
	return version, err
}
