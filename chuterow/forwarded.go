package chuterow

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// encodedForwardedRow is the CBOR form of a row about a job that an entry host forwards to the leader.
type encodedForwardedRow struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	Value   []byte
}

// EncodeForwardedRows returns the CBOR encoding of rows about jobs, or an error if a row is of another type.
func EncodeForwardedRows(rows []chuteaction.Row) ([]byte, error) {
	encoded := make([]encodedForwardedRow, 0, len(rows))
	for _, r := range rows {
		if _, ok := r.Value.(chuteaction.JobRow); !ok {
			return nil, errors.Errorf("forwarded rows: row of type %T is not about a job", r.Value)
		}
		value, err := Encode(r.Value)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, encodedForwardedRow{Version: int64(r.Version), Value: value})
	}
	body, err := cbor.Marshal(encoded)
	return body, errors.Wrap(err, "news")
}

// DecodeForwardedRows returns the rows that EncodeForwardedRows encoded, or an error if the body is malformed or holds
// rows of other types.
func DecodeForwardedRows(body []byte) ([]chuteaction.Row, error) {
	var encoded []encodedForwardedRow
	if err := cbor.Unmarshal(body, &encoded); err != nil {
		return nil, errors.Wrap(err, "news")
	}
	rows := make([]chuteaction.Row, 0, len(encoded))
	for _, e := range encoded {
		value, err := Decode(e.Value)
		if err != nil {
			return nil, err
		}
		jobRow, ok := value.(chuteaction.JobRow)
		if !ok {
			return nil, errors.Errorf("forwarded rows: row of type %T is not about a job", value)
		}
		row := chuteaction.Row{Version: chuteaction.RowVersion(e.Version), Value: value}
		switch v := jobRow.(type) {
		case chuteaction.SubmissionRow:
			row.RowKey = chuteaction.SubmissionKey(v.ID)
		case chuteaction.CancelRow:
			row.RowKey = chuteaction.CancelKey(v.Job)
		}
		rows = append(rows, row)
	}
	return rows, nil
}
