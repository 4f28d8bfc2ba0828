package chutestore

import (
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutecaller"
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

// newCaller returns a caller of the table service at the address.
func newCaller(address string) chutecaller.Caller {
	return chutecaller.New("table service", &fasthttp.HostClient{
		Addr: address, MaxConns: 16, ReadTimeout: CallTimeout, WriteTimeout: CallTimeout, MaxResponseBodySize: MaxResponseBytes,
		MaxIdemponentCallAttempts: 1, RetryIfErr: chutecaller.NeverRetry, NoDefaultUserAgentHeader: true,
	})
}

func rowsPath(prefix chutetable.Key, exact bool) string {
	query := url.Values{"prefix": {string(prefix)}}
	if exact {
		query = url.Values{"key": {string(prefix)}}
	}
	return "/v1/rows?" + query.Encode()
}
