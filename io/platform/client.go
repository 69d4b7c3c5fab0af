package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/io/conn"
)

// MaxResponse is the largest response that is read, in bytes. It has room for an object with a value of 1 MB, or a list.
const MaxResponse = 2 << 20

// MaxValue is the largest value that the platform stores, in bytes.
const MaxValue = 1_000_000

// dialTimeout bounds the time to open a connection. The library's own dialler uses the same value.
const dialTimeout = 3 * time.Second

// Object is one object of the platform's store.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`           // store-wide counter, increased by every change
	Value   json.RawMessage `json:"value,omitempty"`   // one JSON value
	Deleted bool            `json:"deleted,omitempty"` // set in the result of a watch only
}

// Changes is the result of a watch.
type Changes struct {
	Version uint64   `json:"version"` // pass as since to the next watch
	Items   []Object `json:"items"`   // empty if the wait ended without a change
}

// Client sends requests to one platform. Set the exported fields before the first call. Its methods are safe for
// concurrent use.
type Client struct {
	Addr    string     // IP:port
	Timeout clock.Span // of one request, not including the wait of a watch; 0 means 2 s
	Source  string     // local IP address of the connections, "" for any
	Token   string     // bearer token, "" sends none

	calls atomic.Uint64
	once  sync.Once
	host  *fasthttp.HostClient
}

// Calls returns the number of requests sent, including watches. Each one is subject to the platform's rate limit.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get returns an object. It returns ErrNotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, request{method: fasthttp.MethodGet, path: objectPath(kind, name), result: &o})
	if err == nil && o.Version == 0 {
		err = &Unavailable{MaybeSent: true, Cause: errors.New("an object without a version")}
	}
	return o, err
}

// Create stores an object that does not exist yet, and returns its version. It returns *Conflict if the object
// exists.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, "?if=absent", value)
}

// Update replaces an object if it has this version (compare-and-swap), and returns the new version. It returns
// *Conflict if the object has another version.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, "?if="+strconv.FormatUint(version, 10), value)
}

// Put stores an object without a condition, and returns the new version.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, "", value)
}

// Delete removes an object if it has this version. It returns *Conflict if the object has another version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	path := objectPath(kind, name) + "?if=" + strconv.FormatUint(version, 10)
	return c.call(ctx, request{method: fasthttp.MethodDelete, path: path})
}

// List returns the objects of a kind whose names begin with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	var l Changes
	path := "/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, request{method: fasthttp.MethodGet, path: path, result: &l})
	return l.Items, err
}

// Watch waits up to wait for changes of the objects of a kind after version since. Cancelling ctx closes the
// connection.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait clock.Span) (Changes, error) {
	var l Changes
	path := fmt.Sprintf("/watch/%s?since=%d&wait=%d", url.PathEscape(kind), since, wait)
	err := c.call(ctx, request{method: fasthttp.MethodGet, path: path, result: &l, wait: wait})
	return l, err
}

// VMs returns the platform's list of VMs, which can be out of date.
func (c *Client) VMs(ctx context.Context) ([]work.VM, error) {
	var l []work.VM
	err := c.call(ctx, request{method: fasthttp.MethodGet, path: "/vms", result: &l})
	return l, err
}

// Close closes the idle connections.
func (c *Client) Close() { c.sharedClient().CloseIdleConnections() }

func (c *Client) put(ctx context.Context, kind, name, cond string, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, &Unavailable{Cause: fmt.Errorf("a value of %d bytes, at most %d are stored", len(value), MaxValue)}
	}
	var o Object
	path := objectPath(kind, name) + cond
	if err := c.call(ctx, request{method: fasthttp.MethodPut, path: path, body: value, result: &o}); err != nil {
		return 0, err
	}
	if o.Version == 0 {
		return 0, &Unavailable{MaybeSent: true, Cause: errors.New("an update without a version in the response")}
	}
	return o.Version, nil
}

// sharedClient returns the connection pool that all requests without a wait share.
func (c *Client) sharedClient() *fasthttp.HostClient {
	c.once.Do(func() {
		c.host = c.newHostClient(func(addr string) (net.Conn, error) {
			d := conn.Dialer(c.Source)
			d.Timeout = dialTimeout
			dialled, err := d.Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return conn.CheckHeads(dialled), nil
		})
	})
	return c.host
}

// newHostClient returns a connection pool with the library's retries turned off. The library would retry GET, PUT and
// DELETE up to five times, and the response to a retried PUT would hide from the caller that the first one took effect.
func (c *Client) newHostClient(dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      c.Addr,
		Name:                      "shallotrun",
		Dial:                      dial,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       MaxResponse,
		MaxIdleConnDuration:       10 * time.Second,
		MaxConns:                  64,
	}
}

// newWatchClient returns a connection pool for one watch. Its connections are closed when ctx ends or done is called.
// With a connection of its own, a watch is not affected when a shared connection no longer delivers anything.
func (c *Client) newWatchClient(ctx context.Context) (host *fasthttp.HostClient, done func()) {
	var stops []func() bool
	var conns []net.Conn
	host = c.newHostClient(func(addr string) (net.Conn, error) {
		d := conn.Dialer(c.Source)
		dialled, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		conns = append(conns, dialled)
		// Close fails only if the connection is already closed.
		stops = append(stops, context.AfterFunc(ctx, func() { _ = dialled.Close() }))
		return conn.CheckHeads(dialled), nil
	})
	return host, func() {
		for _, stop := range stops {
			stop()
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
