package chutewire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// MaxFrame is the largest encoded peer message, in bytes.
	MaxMessageBytes = 8 << 20
	// maxNesting bounds the nesting of decoded values.
	maxNesting = 16
	// maxElements bounds the elements of a decoded array or map.
	maxElements = 1 << 17
)

// envelope carries one value of a sealed interface with the name of its type.
type envelope struct {
	Kind string          `json:"kind"`
	Body cbor.RawMessage `json:"body"`
}

// registry maps the kinds of one sealed interface to their types.
type registry map[string]reflect.Type

func newRegistry(kinds map[string]any) registry {
	r := make(registry, len(kinds))
	for kind, value := range kinds {
		r[kind] = reflect.TypeOf(value)
	}
	return r
}

var (
	rows = newRegistry(map[string]any{
		"host": chutetable.HostRow{}, "shard": chutetable.ShardRow{}, "job": chutetable.JobRow{},
		"document": chutetable.DocumentRow{}, "intent": chutetable.IntentRow{},
	})
	calls = newRegistry(map[string]any{
		"submit-job": chutecall.SubmitJob{}, "show-job": chutecall.ShowJob{}, "cancel-job": chutecall.CancelJob{},
		"explain-job": chutecall.ExplainJob{}, "list-jobs": chutecall.ListJobs{},
		"apply-document": chutecall.ApplyDocument{}, "show-document": chutecall.ShowDocument{},
		"list-workspaces": chutecall.ListWorkspaces{}, "status": chutecall.Status{},
	})
	replies = newRegistry(map[string]any{
		"result": chutecall.ResultReply{}, "job": chutecall.JobReply{}, "jobs": chutecall.JobsReply{},
		"explain": chutecall.ExplainReply{}, "document": chutecall.DocumentReply{},
		"workspaces": chutecall.WorkspacesReply{}, "status": chutecall.StatusReply{},
	})
	messages = newRegistry(map[string]any{
		"heartbeat": chuteevent.Heartbeat{}, "heartbeat-answer": chuteevent.HeartbeatAnswer{},
		"forward-call": forwardCall{}, "forward-reply": forwardReply{},
		"shard-freed": chuteevent.ShardReleased{}, "document-changed": chuteevent.DocumentChanged{},
	})
)

// forwardCall is the encoded form of a forwarded call.
type forwardCall struct {
	ID      chuteevent.CallID `json:"id"`
	Request string            `json:"request"`
	Call    envelope          `json:"call"`
}

// forwardReply is the encoded form of a forwarded reply.
type forwardReply struct {
	ID    chuteevent.CallID `json:"id"`
	Reply envelope          `json:"reply"`
}

var encoding, decoding = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	encoding, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	decoding, err := cbor.DecOptions{
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return encoding, decoding
}

func (r registry) seal(value any) (envelope, error) {
	of := reflect.TypeOf(value)
	for kind, t := range r {
		if t == of {
			body, err := encoding.Marshal(value)
			return envelope{Kind: kind, Body: body}, errors.Wrap(err, kind)
		}
	}
	return envelope{}, errors.Errorf("kind: no name for %T", value)
}

func (r registry) open(e envelope) (any, error) {
	t, ok := r[e.Kind]
	if !ok {
		return nil, errors.Errorf("kind: %q is unknown", e.Kind)
	}
	value := reflect.New(t)
	if err := decoding.Unmarshal(e.Body, value.Interface()); err != nil {
		return nil, errors.Wrap(err, e.Kind)
	}
	return value.Elem().Interface(), nil
}

func (r registry) encode(value any) ([]byte, error) {
	sealed, err := r.seal(value)
	if err != nil {
		return nil, err
	}
	encoded, err := encoding.Marshal(sealed)
	return encoded, errors.WithStack(err)
}

func (r registry) decode(encoded []byte) (any, error) {
	var sealed envelope
	if err := decoding.Unmarshal(encoded, &sealed); err != nil {
		return nil, errors.Wrap(err, "envelope")
	}
	return r.open(sealed)
}

// EncodeRow returns the row as CBOR.
func EncodeRow(row chutetable.Row) ([]byte, error) {
	return rows.encode(row)
}

// DecodeRow returns the row that was encoded, or an error that names the field.
func DecodeRow(encoded []byte) (chutetable.Row, error) {
	value, err := rows.decode(encoded)
	if err != nil {
		return nil, err
	}
	row, ok := value.(chutetable.Row)
	if !ok {
		return nil, errors.New("row: of no known type")
	}
	return row, nil
}

// EncodeMessage returns the peer message as CBOR.
func EncodeMessage(message chuteevent.PeerMessage) ([]byte, error) {
	switch m := message.(type) {
	case chuteevent.ForwardCall:
		call, err := calls.seal(m.Call)
		if err != nil {
			return nil, err
		}
		return messages.encode(forwardCall{ID: m.ID, Request: m.RequestID, Call: call})
	case chuteevent.ForwardReply:
		reply, err := replies.seal(m.Reply)
		if err != nil {
			return nil, err
		}
		return messages.encode(forwardReply{ID: m.ID, Reply: reply})
	case chuteevent.Heartbeat, chuteevent.HeartbeatAnswer, chuteevent.ShardReleased, chuteevent.DocumentChanged:
		return messages.encode(m)
	}
	return nil, errors.Errorf("message: no encoding for %T", message)
}

// DecodeMessage returns the peer message that was encoded, or an error that names the field.
func DecodeMessage(encoded []byte) (chuteevent.PeerMessage, error) {
	if len(encoded) > MaxMessageBytes {
		return nil, errors.Errorf("message: over %d bytes", MaxMessageBytes)
	}
	value, err := messages.decode(encoded)
	if err != nil {
		return nil, err
	}
	switch m := value.(type) {
	case forwardCall:
		return openCall(m)
	case forwardReply:
		return openReply(m)
	case chuteevent.PeerMessage:
		return m, nil
	}
	return nil, errors.New("message: of no known type")
}

func openCall(m forwardCall) (chuteevent.PeerMessage, error) {
	value, err := calls.open(m.Call)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	call, ok := value.(chutecall.Call)
	if !ok {
		return nil, errors.New("call: of no known type")
	}
	return chuteevent.ForwardCall{ID: m.ID, RequestID: m.Request, Call: call}, nil
}

func openReply(m forwardReply) (chuteevent.PeerMessage, error) {
	value, err := replies.open(m.Reply)
	if err != nil {
		return nil, errors.Wrap(err, "reply")
	}
	reply, ok := value.(chutecall.Reply)
	if !ok {
		return nil, errors.New("reply: of no known type")
	}
	return chuteevent.ForwardReply{ID: m.ID, Reply: reply}, nil
}
