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
	// MaxMessageBytes is the largest size of an encoded peer message.
	MaxMessageBytes = 8 << 20
	// maxNesting is the deepest nesting of a decoded value.
	maxNesting = 16
	// maxElements is the highest number of elements of a decoded array, or of pairs of a decoded map.
	maxElements = 1 << 17
)

// envelope is one encoded value of a sealed interface, with the kind that determines its type.
type envelope struct {
	Kind string          `json:"kind"`
	Body cbor.RawMessage `json:"body"`
}

// registry maps the kinds of the values of one sealed interface to their types.
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
		"limit": chutetable.LimitRow{},
	})
	calls = newRegistry(map[string]any{
		"submit-job": chutecall.SubmitJob{}, "show-job": chutecall.ShowJob{}, "cancel-job": chutecall.CancelJob{},
		"explain-job": chutecall.ExplainJob{}, "list-jobs": chutecall.ListJobs{},
		"apply-document": chutecall.ApplyDocument{}, "show-document": chutecall.ShowDocument{},
		"list-workspaces": chutecall.ListWorkspaces{}, "status": chutecall.Status{}, "show-use": chutecall.ShowUse{},
	})
	replies = newRegistry(map[string]any{
		"result": chutecall.ResultReply{}, "job": chutecall.JobReply{}, "jobs": chutecall.JobsReply{},
		"explain": chutecall.ExplainReply{}, "document": chutecall.DocumentReply{},
		"workspaces": chutecall.WorkspacesReply{}, "use": chutecall.UseReply{}, "status": chutecall.StatusReply{},
	})
	messages = newRegistry(map[string]any{
		"heartbeat": chuteevent.Heartbeat{}, "heartbeat-answer": chuteevent.HeartbeatAnswer{},
		"forward-call": forwardCall{}, "forward-reply": forwardReply{},
		"shard-freed": chuteevent.ShardReleased{}, "document-changed": chuteevent.DocumentChanged{},
	})
)

// forwardCall is the encoded form of chuteevent.ForwardCall.
type forwardCall struct {
	ID        chuteevent.CallID `json:"id"`
	RequestID string            `json:"request"`
	Call      envelope          `json:"call"`
}

// forwardReply is the encoded form of chuteevent.ForwardReply.
type forwardReply struct {
	ID    chuteevent.CallID `json:"id"`
	Reply envelope          `json:"reply"`
}

var encMode, decMode = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// wrap returns the envelope of the value, or an error if the type of the value is not registered.
func (r registry) wrap(value any) (envelope, error) {
	valueType := reflect.TypeOf(value)
	for kind, t := range r {
		if t == valueType {
			body, err := encMode.Marshal(value)
			return envelope{Kind: kind, Body: body}, errors.Wrap(err, kind)
		}
	}
	return envelope{}, errors.Errorf("type %T has no registered kind", value)
}

// unwrap returns the value in the envelope, or an error if the kind is not registered or the body does not decode.
func (r registry) unwrap(e envelope) (any, error) {
	t, ok := r[e.Kind]
	if !ok {
		return nil, errors.Errorf("kind %q has no registered type", e.Kind)
	}
	value := reflect.New(t)
	if err := decMode.Unmarshal(e.Body, value.Interface()); err != nil {
		return nil, errors.Wrap(err, e.Kind)
	}
	return value.Elem().Interface(), nil
}

func (r registry) encode(value any) ([]byte, error) {
	wrapped, err := r.wrap(value)
	if err != nil {
		return nil, err
	}
	encoded, err := encMode.Marshal(wrapped)
	return encoded, errors.WithStack(err)
}

func (r registry) decode(encoded []byte) (any, error) {
	var wrapped envelope
	if err := decMode.Unmarshal(encoded, &wrapped); err != nil {
		return nil, errors.Wrap(err, "envelope")
	}
	return r.unwrap(wrapped)
}

// EncodeRow returns the row as CBOR.
func EncodeRow(row chutetable.Row) ([]byte, error) {
	return rows.encode(row)
}

// DecodeRow returns the row that EncodeRow encoded. Its error names the kind of the row if the kind could be decoded.
func DecodeRow(encoded []byte) (chutetable.Row, error) {
	value, err := rows.decode(encoded)
	if err != nil {
		return nil, err
	}
	row, ok := value.(chutetable.Row)
	if !ok {
		return nil, errors.New("decoded value is not a row")
	}
	return row, nil
}

// EncodeMessage returns the peer message as CBOR.
func EncodeMessage(message chuteevent.PeerMessage) ([]byte, error) {
	switch m := message.(type) {
	case chuteevent.ForwardCall:
		call, err := calls.wrap(m.Call)
		if err != nil {
			return nil, err
		}
		return messages.encode(forwardCall{ID: m.ID, RequestID: m.RequestID, Call: call})
	case chuteevent.ForwardReply:
		reply, err := replies.wrap(m.Reply)
		if err != nil {
			return nil, err
		}
		return messages.encode(forwardReply{ID: m.ID, Reply: reply})
	case chuteevent.Heartbeat, chuteevent.HeartbeatAnswer, chuteevent.ShardReleased, chuteevent.DocumentChanged:
		return messages.encode(m)
	}
	return nil, errors.Errorf("peer message of type %T has no encoding", message)
}

// DecodeMessage returns the peer message that EncodeMessage encoded. Its error names the kind of the message if the kind
// could be decoded. It rejects messages over MaxMessageBytes.
func DecodeMessage(encoded []byte) (chuteevent.PeerMessage, error) {
	if len(encoded) > MaxMessageBytes {
		return nil, errors.Errorf("peer message is over %d bytes", MaxMessageBytes)
	}
	value, err := messages.decode(encoded)
	if err != nil {
		return nil, err
	}
	switch m := value.(type) {
	case forwardCall:
		return unwrapCall(m)
	case forwardReply:
		return unwrapReply(m)
	case chuteevent.PeerMessage:
		return m, nil
	}
	return nil, errors.New("decoded value is not a peer message")
}

func unwrapCall(m forwardCall) (chuteevent.PeerMessage, error) {
	value, err := calls.unwrap(m.Call)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	call, ok := value.(chutecall.Call)
	if !ok {
		return nil, errors.New("decoded value is not a call")
	}
	return chuteevent.ForwardCall{ID: m.ID, RequestID: m.RequestID, Call: call}, nil
}

func unwrapReply(m forwardReply) (chuteevent.PeerMessage, error) {
	value, err := replies.unwrap(m.Reply)
	if err != nil {
		return nil, errors.Wrap(err, "reply")
	}
	reply, ok := value.(chutecall.Reply)
	if !ok {
		return nil, errors.New("decoded value is not a reply")
	}
	return chuteevent.ForwardReply{ID: m.ID, Reply: reply}, nil
}
