package chuteclient

import (
	"encoding/json"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteformat"
	"monsoonchute.example/monsoonchute/chutefront"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// callTimeout is how long one call to one entry host may take.
	callTimeout = 15 * time.Second
	// rounds is how often all entry hosts are tried.
	maxRounds = 3
	// roundPause is the wait between two rounds.
	roundPause = 300 * time.Millisecond
)

// Client calls one entry host after the other until one does not refuse.
type Client struct {
	addresses []string
	client    *fasthttp.Client
	requestID string // id of the calls, made anew for each if empty
}

// Option changes how a client calls.
type Option func(*Client)

// WithRequestID makes calls carry the id, so that a repeated call finds the first one.
func WithRequestID(id string) Option {
	return func(c *Client) { c.requestID = id }
}

// New returns a client of the entry hosts at the addresses.
func New(addresses []string, options ...Option) *Client {
	c := &Client{addresses: addresses, client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, ReadTimeout: callTimeout, WriteTimeout: callTimeout, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	for _, option := range options {
		option(c)
	}
	return c
}

// movesOn reports whether another entry host may answer better.
func shouldTryNextHost(code chuteresult.Code) bool {
	return slices.Contains(retryableCodes, code)
}

// refusals are the codes of an entry host that cannot answer for itself.
var retryableCodes = []chuteresult.Code{
	chuteresult.Stopping, chuteresult.NotOwner, chuteresult.NoOwner, chuteresult.NotReady, chuteresult.Overloaded,
}

// call makes the call with the same request id at each entry host in turn. The error is a result: not run if no entry
// host could be reached, unknown if one took the call and did not answer.
func (c *Client) call(method, path string, body []byte) (chuteformat.Reply, error) {
	requestID := c.requestID
	if requestID == "" {
		requestID = uuid.NewString()
	}
	var reply chuteformat.Reply
	err := error(chuteresult.New(chuteresult.NoOwner, "no entry host could be reached"))
	for attempt := range maxRounds * len(c.addresses) {
		if attempt > 0 && attempt%len(c.addresses) == 0 {
			pauseBetweenRounds()
		}
		address := c.addresses[attempt%len(c.addresses)]
		received, callErr := c.callHost(method, "http://"+address+path, requestID, body)
		if callErr != nil {
			err = errors.Wrap(callErr, address)
			continue
		}
		reply, err = received, nil
		if !shouldTryNextHost(chuteresult.Code(reply.Result.Code)) {
			return reply, nil
		}
	}
	return reply, err
}

// classify maps a failed call to a result. Only a failure to connect proves that nothing was done.
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return chuteresult.New(chuteresult.NoOwner, "%s", err.Error())
	}
	return chuteresult.New(chuteresult.AnswerLost, "%s; repeat the call with the same request id", err.Error())
}

// pause lets a shard find its owner before the entry hosts are tried again.
func pauseBetweenRounds() {
	timer := time.NewTimer(roundPause)
	<-timer.C
}

func (c *Client) callHost(method, uri, requestID string, body []byte) (chuteformat.Reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.Header.Set(chutefront.HeaderRequestID, requestID)
	request.SetBody(body)
	var reply chuteformat.Reply
	if err := c.client.Do(request, response); err != nil {
		return reply, classifyError(err)
	}
	if err := json.Unmarshal(response.Body(), &reply); err != nil {
		return reply, errors.Wrapf(err, "status %d", response.StatusCode())
	}
	return reply, nil
}

// ApplyDocument proposes the TOML as a change of the document.
func (c *Client) ApplyDocument(text []byte, dryRun, override bool) (chuteformat.Reply, error) {
	query := url.Values{}
	if dryRun {
		query.Set("dry-run", "true")
	}
	if override {
		query.Set("override", "true")
	}
	return c.call(fasthttp.MethodPut, "/v1/document?"+query.Encode(), text)
}

// ShowDocument asks for the document in force.
func (c *Client) ShowDocument() (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/document", nil)
}

// SetZone takes an availability zone out or in, for the team.
func (c *Client) SetZone(zone, state, team string, override bool) (chuteformat.Reply, error) {
	body, err := json.Marshal(map[string]any{"team": team, "state": state, "override": override})
	if err != nil {
		return chuteformat.Reply{}, errors.WithStack(err)
	}
	return c.call(fasthttp.MethodPut, "/v1/availability-zones/"+url.PathEscape(zone), body)
}

// SubmitJob asks for the job to be run.
func (c *Client) SubmitJob(spec chuteformat.JobSpec) (chuteformat.Reply, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return chuteformat.Reply{}, errors.WithStack(err)
	}
	return c.call(fasthttp.MethodPost, "/v1/jobs", body)
}

// ShowJob asks for the state of the job.
func (c *Client) ShowJob(id string) (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// ExplainJob asks why the job waits.
func (c *Client) ExplainJob(id string) (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil)
}

// ListJobs asks for all jobs.
func (c *Client) ListJobs() (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/jobs", nil)
}

// CancelJob asks for the job to be cancelled.
func (c *Client) CancelJob(id string) (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// ListWorkspaces asks for the workspaces.
func (c *Client) ListWorkspaces() (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/workspaces", nil)
}

// Status asks for an entry host's view.
func (c *Client) Status() (chuteformat.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/status", nil)
}
