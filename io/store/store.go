// Package store implements a client for the platform's object store, whose API is described
// in docs/platform.md. Each method sends one request and returns when its context ends;
// only Follow sends several requests and retries.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

const (
	// MaxValue is the size limit of the store for values, in bytes.
	MaxValue = 1 << 20
	// AnyVersion makes a Put or Delete unconditional when passed as ifVersion.
	AnyVersion = math.MaxUint64
	// ClientHeader is the HTTP header with the client's name.
	ClientHeader = "Store-Client"

	dialTimeout = 5 * time.Second
	// maxIdleConns is enough for a watch and the concurrent calls of one instance.
	maxIdleConns = 16
)

// The error classes of this package.
var (
	// Error is the class of errors that belong to no other class, such as an invalid
	// response.
	Error = errs.Class("store")
	// NotFound is the class of calls for an object that does not exist.
	NotFound = errs.Class("store: not found")
	// Unavailable is the class of calls without a response from the store. It is unknown
	// whether a Put or Delete took effect; the object must be read to find out.
	Unavailable = errs.Class("store: unavailable")
	// TooLarge is the class of calls with a value larger than MaxValue.
	TooLarge = errs.Class("store: too large")
	// HistoryGone is the class of watches that start at a revision whose following changes
	// the store no longer keeps; the objects must be listed again.
	HistoryGone = errs.Class("store: history gone")
)

// ConflictError is returned by a conditional update or delete if the object has another
// version than the expected one.
type ConflictError struct {
	Key string
	// CurrentVersion is the version of the object, 0 if the object does not exist.
	CurrentVersion uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conflict: %s is at version %d", e.Key, e.CurrentVersion)
}

// Object is an object of the store. In the result of a watch it may be a deletion.
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the revision of the store at which the object was last written. Versions
	// are never reused, not even after the object was deleted.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Objects is the result of List and Watch.
type Objects struct {
	// Revision is the revision of the whole store up to which the result is complete.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Config configures a Client.
type Config struct {
	// Addr is the store's host and port.
	Addr string
	// Name is the client's name, which is sent in ClientHeader.
	Name string
}

// Client calls the store. Its methods may be called concurrently.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client. It connects on first use.
func New(c Config) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{c, &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns an object. Errors: NotFound, Unavailable.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, key, "/o/"+url.PathEscape(key), nil, &o)
	return o, err
}

// Put is a conditional update: it writes an object if its version is ifVersion and returns
// the new version. With ifVersion 0 the object must not exist; with AnyVersion the update
// is unconditional. Errors: *ConflictError, TooLarge, Unavailable.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValue {
		return 0, TooLarge.New("%s: value of %d bytes", key, len(value))
	}
	body, err := json.Marshal(Object{Value: value})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var o Object
	err = c.call(ctx, http.MethodPut, key, "/o/"+url.PathEscape(key)+versionCondition(ifVersion), body, &o)
	return o.Version, err
}

// Delete deletes an object if its version is ifVersion. With AnyVersion the deletion is
// unconditional. Errors: NotFound, *ConflictError, Unavailable.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	var o Object
	return c.call(ctx, http.MethodDelete, key, "/o/"+url.PathEscape(key)+versionCondition(ifVersion), nil, &o)
}

// versionCondition returns the URL query of a conditional update or delete.
func versionCondition(version uint64) string {
	if version == AnyVersion {
		return ""
	}
	return "?if=" + strconv.FormatUint(version, 10)
}

// List returns the objects whose keys begin with the prefix, ordered by key. Errors:
// Unavailable.
func (c *Client) List(ctx context.Context, prefix string) (Objects, error) {
	var l Objects
	err := c.call(ctx, http.MethodGet, prefix, "/list?prefix="+url.QueryEscape(prefix), nil, &l)
	return l, err
}

// Watch returns the changes of objects whose keys begin with the prefix after the revision
// since, in the order of their revisions. If there is no change yet, it waits for one. If
// the wait time passes without a change, the result has no objects, and the next watch
// continues from its revision. Errors: HistoryGone, Unavailable.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (Objects, error) {
	var l Objects
	path := fmt.Sprintf("/watch?prefix=%s&since=%d&wait=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	err := c.call(ctx, http.MethodGet, prefix, path, nil, &l)
	return l, err
}

// call sends a request and decodes the JSON response into out. key is only used in errors.
func (c *Client) call(ctx context.Context, method, key, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Addr+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set(ClientHeader, c.config.Name)
	res, err := c.http.Do(req)
	if err != nil {
		return Unavailable.Wrap(unwrapURLError(err))
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return Unavailable.Wrap(err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return Error.Wrap(err)
		}
		return nil
	case http.StatusNotFound:
		return NotFound.New("%s", key)
	case http.StatusConflict:
		var o Object
		if err := json.Unmarshal(data, &o); err != nil {
			return Error.Wrap(err)
		}
		return &ConflictError{key, o.Version}
	case http.StatusRequestEntityTooLarge:
		return TooLarge.New("%s", key)
	case http.StatusGone:
		return HistoryGone.New("%s", key)
	case http.StatusBadRequest:
		return Error.New("%s: %s", key, bytes.TrimSpace(data))
	}
	// Other statuses are not sent by the store but by an intermediary, so it is unknown
	// whether the request took effect.
	return Unavailable.New("%s: status %d", key, res.StatusCode)
}

// unwrapURLError removes the method and URL with which net/http prefixes its errors.
func unwrapURLError(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
