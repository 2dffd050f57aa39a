// Package postgres implements the PostgreSQL wire protocol v3 towards callers and
// upstreams.
//
// It receives, checks and relays messages and makes no decisions: who may log in, where
// a batch runs and what a lost answer means is decided by the Handler and its Sessions.
package postgres
