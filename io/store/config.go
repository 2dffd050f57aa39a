package store

import (
	"context"
	"errors"

	"burdockseam/core/config"
)

// Config gives the client the form that package config works with.
func (c *Client) Config() config.Store { return configStore{c} }

type configStore struct{ *Client }

// Get implements config.Store.
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
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return 0, config.ErrVersionMismatch
	}
	return version, err
}
