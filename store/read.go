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

// Query parameters of requests that read keys and changes.
const (
	paramPrefix  = "starts"
	paramSince   = "since"
	paramLimit   = "limit"
	paramBlockMS = "block_ms"
)

// listPageSize is the maximum number of keys in a page of a list.
const listPageSize = 1000

// keyPath returns the URL path of a key.
func keyPath(key string) string { return wire.PathKV + "/" + key }

// Get reads one key; found is false if the key does not exist.
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

// List reads all keys with a prefix, page by page. The revision is that of the first page,
// so that a watch from it misses no change made while later pages were read.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) (rows []wire.Row, revision uint64, err error) {
	defer annotate(&err, "list", prefix)
	afterKey := ""
	for {
		page, err := c.listPage(ctx, priority, prefix, afterKey)
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
		afterKey = page.Rows[len(page.Rows)-1].Key
	}
}

// listPage reads the first page of keys with a prefix, starting after the given key.
func (c *Client) listPage(ctx context.Context, priority Priority, prefix, afterKey string) (rows wire.Rows, err error) {
	if err := c.budget.admit(ctx, priority, 0); err != nil {
		return rows, err
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	query := url.Values{paramPrefix: {prefix}, paramLimit: {strconv.Itoa(listPageSize)}}
	if afterKey != "" {
		query.Set(paramSince, afterKey)
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

// Answers sends one request and reports whether the service answers it.
func (c *Client) Answers(ctx context.Context, timeout clock.Micros) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	_, _, err := c.request(ctx, http.MethodGet, keyPath(KeyLeader), nil)
	return err == nil
}

// ProbeRefused sends one request and reports whether the service refuses this node right now.
// It returns true only after a definite refusal, never for a request without a response.
func (c *Client) ProbeRefused(ctx context.Context, timeout clock.Micros) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, _, err := c.request(ctx, http.MethodGet, keyPath(KeyLeader), nil)
	return errors.Is(err, ErrRefused) && status == http.StatusServiceUnavailable
}
