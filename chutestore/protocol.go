package chutestore

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// CallTimeout is the timeout for each read and each write of a call to the table service.
	CallTimeout = 2 * time.Second
	// MaxResponseBytes is the largest accepted body of a response of the table service.
	MaxResponseBytes = 64 << 20
)

// Transaction is the body of a conditional write. It is idempotent: a repeated token returns the outcome of its first use.
type Transaction struct {
	Token      string                 `json:"token"`
	Conditions []chutetable.Condition `json:"conditions"`
	Writes     []RowWrite             `json:"writes"`
}

// RowWrite sets the value of a row; a null value deletes the row.
type RowWrite struct {
	Key   chutetable.Key `json:"key"`
	Value []byte         `json:"value"`
}

// Outcome is the table service's response to a transaction.
type Outcome struct {
	Accepted bool                                  `json:"accepted"`
	Versions map[chutetable.Key]chutetable.Version `json:"versions"`
}

// StoredRow is a row in the table service's response to a read.
type StoredRow struct {
	Key     chutetable.Key     `json:"key"`
	Version chutetable.Version `json:"version"`
	Value   []byte             `json:"value"`
}

// ListedHost is an entry of the platform's membership list.
type ListedHost struct {
	ID           string `json:"id"`
	Role         string `json:"role"`
	Service      string `json:"service"`
	Zone         string `json:"availability-zone"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	Address      string `json:"address"`
	Leaving      bool   `json:"leaving"`
}

// httpCaller makes HTTP calls with JSON bodies to one address.
type httpCaller struct {
	client *fasthttp.HostClient
}

func newHTTPCaller(address string) httpCaller {
	return httpCaller{client: &fasthttp.HostClient{
		Addr: address, MaxConns: 16, ReadTimeout: CallTimeout, WriteTimeout: CallTimeout, MaxResponseBodySize: MaxResponseBytes,
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, NoDefaultUserAgentHeader: true,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}

func (c httpCaller) post(path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.do(fasthttp.MethodPost, path, encoded, target)
}

func (c httpCaller) get(path string, target any) error {
	return c.do(fasthttp.MethodGet, path, nil, target)
}

func (c httpCaller) do(method, path string, body []byte, target any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.client.Addr + path)
	request.SetBody(body)
	if err := c.client.Do(request, response); err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("table service: status %d", response.StatusCode())
	}
	return errors.WithStack(json.Unmarshal(response.Body(), target))
}

func rowsPath(prefix chutetable.Key, exact bool) string {
	query := url.Values{"prefix": {string(prefix)}}
	if exact {
		query = url.Values{"key": {string(prefix)}}
	}
	return "/v1/rows?" + query.Encode()
}
