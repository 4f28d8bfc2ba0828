package chuterelay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Request is a request to the store.
type Request struct {
	Method  string
	Path    string // includes the query
	Body    []byte
	Wait    time.Duration // longest time that the store may hold the request before it answers
	Timeout time.Duration
}

// Answer is the store's answer.
type Answer struct {
	Status int
	Body   []byte
}

// ErrRefused reports that the store has certainly not carried out the request: it could not be reached, or it refused.
var ErrRefused = errors.New("the store was not reached, or refused")

// ErrNoAnswer reports that the store may have carried out the request, or may do so later.
var ErrNoAnswer = errors.New("no answer from the store")

// verdict is the outcome of a relayed request or a notice.
type verdict int

const (
	verdictAnswered verdict = iota
	verdictRefused
	verdictNoAnswer
)

// frame is a message between two entry hosts: a request, a notice, or the reply to the request or notice with the same id.
// CBOR encodes it as an array, but Request and Answer by the names of their fields.
type frame struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Request *Request
	Notice  []byte
	Answer  *Answer
	Verdict verdict
}

// MaxFrameBytes is the largest accepted size of an encoded frame.
const MaxFrameBytes = 8 << 20

func encode(f frame) ([]byte, error) {
	body, err := cbor.Marshal(f)
	return body, errors.Wrap(err, "frame")
}

func decode(body []byte) (frame, error) {
	var f frame
	err := cbor.Unmarshal(body, &f)
	return f, errors.Wrap(err, "frame")
}

func verdictOf(err error) verdict {
	switch {
	case err == nil:
		return verdictAnswered
	case errors.Is(err, ErrRefused):
		return verdictRefused
	}
	return verdictNoAnswer
}

func (v verdict) err() error {
	switch v {
	case verdictAnswered:
		return nil
	case verdictRefused:
		return ErrRefused
	case verdictNoAnswer:
		return ErrNoAnswer
	}
	return ErrNoAnswer
}
