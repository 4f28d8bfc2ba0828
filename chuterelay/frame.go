package chuterelay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Request is a request to the store.
type Request struct {
	Method  string
	Path    string // with its query
	Body    []byte
	Wait    time.Duration // how long the store may wait before it answers
	Timeout time.Duration
}

// Answer is the store's answer.
type Answer struct {
	Status int
	Body   []byte
}

// ErrRefused tells that the store has certainly done nothing: it could not be reached, or it said so.
var ErrRefused = errors.New("the store was not reached, or refused")

// ErrNoAnswer tells that the store may have carried out the request, or may do so later.
var ErrNoAnswer = errors.New("no answer from the store")

// verdict tells how a relayed request ended.
type verdict int

const (
	verdictAnswered verdict = iota
	verdictRefused
	verdictNoAnswer
)

// frame is a message between two entry hosts: a request or a notice, or the answer to the one of the same id.
type frame struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Request *Request
	Notice  []byte
	Answer  *Answer
	Verdict verdict
}

// maxFrameBytes bounds a message.
const maxFrameBytes = 8 << 20

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
