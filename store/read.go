package store

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"cedardoor/clock"
	"cedardoor/wire"
)

// Parameters of requests that read keys and changes.
const (
	paramPrefix  = "starts"
	paramSince   = "since"
	paramLimit   = "limit"
	paramBlockMS = "block_ms"
)

// listPageSize is how many keys a page of a list holds.
const listPageSize = 1000

// keyPath is the path of one key.
func keyPath(key string) string { return wire.PathKV + "/" + key }

// Get reads one key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (row wire.Row, found bool, err error) {
	defer annotate(&err, "get", key)
	if err := c.budget.admit(ctx, priority, 0); err != nil {
		return row, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, raw, err := c.request(ctx, http.MethodGet, keyPath(key), nil)
	switch {
	case err != nil:
		return row, false, err
	case status == http.StatusOK:
		err := decode(raw, &row)
		return row, true, err
	case status == http.StatusNotFound:
		return row, false, nil
	}
	return row, false, unexpectedStatus(status, raw)
}

// List reads every key with a prefix. The revision is the first page's, so that a
// watch from it misses nothing that changed while later pages were read.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) (rows []wire.Row, revision uint64, err error) {
	defer annotate(&err, "list", prefix)
	since := ""
	for {
		page, err := c.listPage(ctx, priority, prefix, since)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		rows = append(rows, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return rows, revision, nil
		}
		since = page.Rows[len(page.Rows)-1].Key
	}
}

// listPage reads the first keys with a prefix, after since.
func (c *Client) listPage(ctx context.Context, priority Priority, prefix, since string) (rows wire.Rows, err error) {
	if err := c.budget.admit(ctx, priority, 0); err != nil {
		return rows, err
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	query := url.Values{paramPrefix: {prefix}, paramLimit: {strconv.Itoa(listPageSize)}}
	if since != "" {
		query.Set(paramSince, since)
	}
	status, raw, err := c.request(ctx, http.MethodGet, wire.PathKV+"?"+query.Encode(), nil)
	if err != nil {
		return rows, err
	}
	if status != http.StatusOK {
		return rows, unexpectedStatus(status, raw)
	}
	if err := decode(raw, &rows); err != nil {
		return rows, err
	}
	c.observeRevision(rows.Revision)
	return rows, nil
}

// Refused asks once whether the service refuses this node right now: true only
// after a definite refusal, never after a request without a response.
func (c *Client) Refused(ctx context.Context, timeout clock.Micros) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, _, err := c.request(ctx, http.MethodGet, keyPath(KeyLeader), nil)
	return errors.Is(err, ErrRefused) && status == http.StatusServiceUnavailable
}
