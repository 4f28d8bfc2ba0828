package chuterow

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// newsForm is a row about a job as entry hosts tell each other of it.
type newsForm struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	Value   []byte
}

// EncodeNews returns the encoded form of rows about jobs, or an error for any other row.
func EncodeForwardedRows(rows []chuteaction.Row) ([]byte, error) {
	forms := make([]newsForm, 0, len(rows))
	for _, r := range rows {
		if _, ok := r.Value.(chuteaction.JobRow); !ok {
			return nil, errors.Errorf("row of type %T is no news of a job", r.Value)
		}
		value, err := Encode(r.Value)
		if err != nil {
			return nil, err
		}
		forms = append(forms, newsForm{Version: int64(r.Version), Value: value})
	}
	body, err := cbor.Marshal(forms)
	return body, errors.Wrap(err, "news")
}

// DecodeNews returns the rows of an encoded form, or an error if they cannot be read or are not about jobs.
func DecodeForwardedRows(body []byte) ([]chuteaction.Row, error) {
	var forms []newsForm
	if err := cbor.Unmarshal(body, &forms); err != nil {
		return nil, errors.Wrap(err, "news")
	}
	rows := make([]chuteaction.Row, 0, len(forms))
	for _, f := range forms {
		value, err := Decode(f.Value)
		if err != nil {
			return nil, err
		}
		about, ok := value.(chuteaction.JobRow)
		if !ok {
			return nil, errors.Errorf("news: a row of type %T is not about a job", value)
		}
		row := chuteaction.Row{Version: chuteaction.RowVersion(f.Version), Value: value}
		switch v := about.(type) {
		case chuteaction.SubmissionRow:
			row.RowKey = chuteaction.SubmissionKey(v.ID)
		case chuteaction.CancelRow:
			row.RowKey = chuteaction.CancelKey(v.Job)
		}
		rows = append(rows, row)
	}
	return rows, nil
}
