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

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chutefront"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// callTimeout is the longest time for sending a call to an entry host and, separately, for receiving the reply.
	callTimeout = 15 * time.Second
	// maxRounds is the number of times that a call tries all entry hosts.
	maxRounds = 3
	// roundPause is the wait before all entry hosts are tried again.
	roundPause = 300 * time.Millisecond
)

// Client sends each call to the entry hosts in turn until one does not refuse it.
type Client struct {
	addresses []string
	client    *fasthttp.Client
	requestID string // request id of all calls; if empty, each call gets a new one
}

// Option configures a Client.
type Option func(*Client)

// WithRequestID sets the request id of all calls. An entry host recognises a repeated call by its id.
func WithRequestID(id string) Option {
	return func(c *Client) { c.requestID = id }
}

// New returns a client of the entry hosts at the addresses, each host:port.
func New(addresses []string, options ...Option) *Client {
	c := &Client{addresses: addresses, client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, ReadTimeout: callTimeout, WriteTimeout: callTimeout, NoDefaultUserAgentHeader: true,
		RetryIfErr: chutecaller.NeverRetry,
	}}
	for _, option := range options {
		option(c)
	}
	return c
}

// shouldTryNextHost reports whether another entry host may be able to serve the call.
func shouldTryNextHost(code chuteresult.Code) bool {
	return slices.Contains(retryableCodes, code)
}

// retryableCodes are the results of an entry host that cannot serve the call while another one may.
var retryableCodes = []chuteresult.Code{
	chuteresult.Stopping, chuteresult.NotOwner, chuteresult.NoOwner, chuteresult.NotReady, chuteresult.Overloaded,
}

// call sends the call with the same request id to the entry hosts in turn, up to maxRounds times. If none accepts it,
// call returns the outcome of the last host: a refusal, or the error NoOwner if the host could not be reached. If an
// earlier host may have carried out the call, a refusal proves nothing, and call returns the error of that host instead.
func (c *Client) call(method, path string, body []byte) (chuteform.Reply, error) {
	requestID := c.requestID
	if requestID == "" {
		requestID = uuid.NewString()
	}
	var reply chuteform.Reply
	var uncertain error // of the first host that may have carried out the call
	err := error(chuteresult.New(chuteresult.NoOwner, "no entry host could be reached"))
	for attempt := range maxRounds * len(c.addresses) {
		if attempt > 0 && attempt%len(c.addresses) == 0 {
			pauseBetweenRounds()
		}
		address := c.addresses[attempt%len(c.addresses)]
		received, callErr := c.callHost(method, "http://"+address+path, requestID, body)
		if callErr != nil {
			err = errors.Wrap(callErr, address)
			if !chuteresult.FromError(callErr).NotRun() && uncertain == nil {
				uncertain = err
			}
			continue
		}
		reply, err = received, nil
		if !shouldTryNextHost(chuteresult.Code(reply.Result.Code)) {
			break
		}
	}
	if uncertain != nil && (err != nil || chuteresult.Code(reply.Result.Code).Class() == chuteresult.ClassNotRun) {
		return chuteform.Reply{}, uncertain
	}
	return reply, err
}

// classifyError converts an error of a call to a result. Only a failure to connect proves that the host did nothing.
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return chuteresult.New(chuteresult.NoOwner, "%s", err.Error())
	}
	return chuteresult.New(chuteresult.AnswerLost, "%s; repeat the call with the same request id", err.Error())
}

// pauseBetweenRounds waits for roundPause, in which a shard without an owner may get a new one.
func pauseBetweenRounds() {
	timer := time.NewTimer(roundPause)
	<-timer.C
}

// callHost sends one call to one entry host and decodes its reply.
func (c *Client) callHost(method, uri, requestID string, body []byte) (chuteform.Reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.Header.Set(chutefront.HeaderRequestID, requestID)
	request.SetBody(body)
	var reply chuteform.Reply
	if err := c.client.Do(request, response); err != nil {
		return reply, classifyError(err)
	}
	if err := json.Unmarshal(response.Body(), &reply); err != nil {
		return reply, chuteresult.New(chuteresult.AnswerTruncated, "status %d: %s", response.StatusCode(), err.Error())
	}
	return reply, nil
}

// ApplyDocument proposes the sections in the TOML text as a change of the document.
func (c *Client) ApplyDocument(text []byte, dryRun, override bool) (chuteform.Reply, error) {
	query := url.Values{}
	if dryRun {
		query.Set("dry-run", "true")
	}
	if override {
		query.Set("override", "true")
	}
	return c.call(fasthttp.MethodPut, "/v1/document?"+query.Encode(), text)
}

// ShowDocument returns the document in force.
func (c *Client) ShowDocument() (chuteform.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/document", nil)
}

// SetZone sets the state of an availability zone to "in" or "out" on behalf of the team.
func (c *Client) SetZone(zone, state, team string, override bool) (chuteform.Reply, error) {
	body, err := json.Marshal(map[string]any{"team": team, "state": state, "override": override})
	if err != nil {
		return chuteform.Reply{}, errors.WithStack(err)
	}
	return c.call(fasthttp.MethodPut, "/v1/availability-zones/"+url.PathEscape(zone), body)
}

// SubmitJob submits the job.
func (c *Client) SubmitJob(spec chuteform.JobSpec) (chuteform.Reply, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return chuteform.Reply{}, errors.WithStack(err)
	}
	return c.call(fasthttp.MethodPost, "/v1/jobs", body)
}

// ShowJob returns the state of the job.
func (c *Client) ShowJob(id string) (chuteform.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// ExplainJob returns the causes for which the job waits.
func (c *Client) ExplainJob(id string) (chuteform.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil)
}

// ListJobs returns the jobs of all shards.
func (c *Client) ListJobs() (chuteform.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/jobs", nil)
}

// CancelJob requests the cancellation of the job.
func (c *Client) CancelJob(id string) (chuteform.Reply, error) {
	return c.call(fasthttp.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// ListWorkspaces returns the workspaces with their guarantees, limits and weights, and what they use.
func (c *Client) ListWorkspaces() (chuteform.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/workspaces", nil)
}

// Status returns what an entry host knows of the hosts, shards and backend servers.
func (c *Client) Status() (chuteform.Reply, error) {
	return c.call(fasthttp.MethodGet, "/v1/status", nil)
}
