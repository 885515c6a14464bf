package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cedardoor/clock"
	"cedardoor/wire"
)

// watchGrace is how long a watch may take in addition to the time that it blocks.
const watchGrace = 5 * time.Second

// Watch waits up to block for changes after a revision. After ErrCompacted, the caller has
// to list the keys again.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, block clock.Micros) (changes wire.WatchResponse, err error) {
	defer annotate(&err, "watch", prefix)
	if err := c.budget.admit(ctx, Urgent, 0); err != nil {
		return changes, err
	}
	// A watch stays open through an outage; the timeout only guards against a lost connection.
	ctx, cancel := context.WithTimeout(ctx, block.Duration()+watchGrace)
	defer cancel()
	return c.decodeChanges(c.watchRequest(ctx, http.MethodGet, changesPath(prefix, since, block), nil))
}

// ChangesSince returns the changes after a revision without waiting. After ErrCompacted,
// the caller has to list the keys again.
func (c *Client) ChangesSince(ctx context.Context, prefix string, since uint64) (changes wire.WatchResponse, err error) {
	defer annotate(&err, "read changes of", prefix)
	if err := c.budget.admit(ctx, Urgent, 0); err != nil {
		return changes, err
	}
	return c.decodeChanges(c.request(ctx, http.MethodGet, changesPath(prefix, since, 0), nil))
}

// changesPath returns the path of a request for the changes of keys with a prefix after a
// revision. The service waits up to block for the first change.
func changesPath(prefix string, since uint64, block clock.Micros) string {
	query := url.Values{
		paramPrefix:  {prefix},
		paramSince:   {strconv.FormatUint(since, 10)},
		paramBlockMS: {strconv.FormatInt(int64(block/clock.Millisecond), 10)},
	}
	return wire.PathChanges + "?" + query.Encode()
}

// decodeChanges decodes the response to a request for changes.
func (c *Client) decodeChanges(status int, raw []byte, err error) (wire.WatchResponse, error) {
	var changes wire.WatchResponse
	switch {
	case err != nil:
		return changes, err
	case status == http.StatusGone:
		return changes, ErrCompacted
	case status != http.StatusOK:
		return changes, unexpectedStatus(status, raw)
	}
	if err := decode(raw, &changes); err != nil {
		return changes, err
	}
	c.observeRevision(changes.Revision)
	return changes, nil
}
