package node

// The platform's object store, as this package uses it.

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Errors that a Store returns.
var (
	// ErrHistoryLost means that the store no longer knows the changes since a revision.
	ErrHistoryLost = errors.New("the store no longer knows the changes since the revision")
	// ErrConflict means that the object has another revision than the caller expected. The
	// store has changed nothing.
	ErrConflict = errors.New("the object does not have the expected revision")
	// ErrMissing means that the object does not exist.
	ErrMissing = errors.New("the object does not exist")
)

// Stamp is a point in the history of the store.
type Stamp struct {
	// Era counts how often the store has come back from a copy, which gives out again the
	// revisions that came after the copy. It is 0 if it is not known.
	Era uint64
	// Revision increases with each change within an era.
	Revision uint64
}

// after reports whether a stamp is later than another one. If its own era is not known, it
// counts as of the other's era.
func (a Stamp) after(b Stamp) bool {
	if a.Era == 0 || a.Era == b.Era {
		return a.Revision > b.Revision
	}
	return a.Era > b.Era
}

// Object is a versioned object of the store.
type Object struct {
	Name string
	// Era is the store's era when the object was read or written by itself. It is 0 for the
	// objects of a table.
	Era uint64
	// Revision is the store's revision at the object's last change.
	Revision uint64
	// Data is the object's content as JSON.
	Data json.RawMessage
}

// Event is the change or the deletion of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Store is the platform's object store. After any error other than those above it is unknown
// whether a write took effect.
type Store interface {
	// List returns all objects of a kind and the store's stamp.
	List(ctx context.Context, kind Kind) ([]Object, Stamp, error)
	// ListStale is a List that is cheaper for the store. Its result may be seconds old.
	ListStale(ctx context.Context, kind Kind) ([]Object, Stamp, error)
	// Watch waits for changes after a revision. It returns ErrHistoryLost if the store no
	// longer knows them. The store takes the revision for one of its present era, which the
	// caller must compare.
	Watch(ctx context.Context, kind Kind, since uint64, wait time.Duration) ([]Event, Stamp, error)
	// Get reads an object. It returns ErrMissing, and an object with nothing but the era, if
	// the object does not exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create adds an object. Replace changes the object if it still has the given object's
	// revision. Both return the object as stored, or ErrConflict if they changed nothing. With
	// ErrConflict, Create returns the present object if the store tells it.
	Create(ctx context.Context, kind Kind, o Object) (Object, error)
	Replace(ctx context.Context, kind Kind, o Object) (Object, error)
	// Delete removes an object.
	Delete(ctx context.Context, kind Kind, name string) error
}

// Kind is a kind of store objects.
type Kind string

// The kinds of objects. The platform's adapter maps them to the store's names.
const (
	KindPolicy    Kind = "policy"    // the operators' configuration
	KindOutDomain Kind = "out"       // failure domains that operators have taken out
	KindUpstream  Kind = "upstream"  // the registry of upstreams
	KindInstance  Kind = "instance"  // instances of the fleet
	KindLease     Kind = "lease"     // the lease of the limits
	KindPromotion Kind = "promotion" // fencing tokens of promotions, by group
	KindUsage     Kind = "usage"     // record of the usage reports, by era
)
