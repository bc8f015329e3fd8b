package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Client calls the platform's services over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
	// timeout limits each call, in addition to the wait of a long poll.
	timeout time.Duration
}

// maxResponseBytes bounds the size of one response.
const maxResponseBytes = 64 << 20

// NewClient returns a client for a base URL such as "http://127.0.0.1:7000". The
// timeout limits each call, in addition to the wait of a long poll.
func NewClient(baseURL string, timeout time.Duration) *Client {
	transport := &http.Transport{
		Proxy:               nil,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{baseURL: baseURL, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Append implements Log.
func (client *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	var response struct {
		Offset int64 `json:"offset"`
	}
	if err := client.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream), data, &response); err != nil {
		return 0, oops.In("platform").With("stream", stream).Wrapf(err, "append to stream %q", stream)
	}
	return response.Offset, nil
}

// Read implements Log.
func (client *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout+wait)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	if err := client.call(ctx, http.MethodGet, "/streams/"+url.PathEscape(stream)+"?"+query.Encode(), nil, &page); err != nil {
		return Page{}, oops.In("platform").With("stream", stream).Wrapf(err, "read stream %q from offset %d", stream, from)
	}
	return page, nil
}

// Hosts implements Hosts.
func (client *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	var hosts []Host
	if err := client.call(ctx, http.MethodGet, "/hosts", nil, &hosts); err != nil {
		return nil, oops.In("platform").Wrapf(err, "read the list of hosts")
	}
	return hosts, nil
}

func (client *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("platform answered %s: %.200s", response.Status, data)
	}
	return json.Unmarshal(data, result)
}
