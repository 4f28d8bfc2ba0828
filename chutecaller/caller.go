package chutecaller

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// dialTimeout is the longest time for opening a connection.
const dialTimeout = 500 * time.Millisecond

// ErrDial marks an error that occurred before any byte of a request was sent.
var ErrDial = errors.New("dial")

// Dial opens a TCP connection to the address within half a second; its error is ErrDial.
func Dial(address string) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return connection, nil
}

// NeverRetry is the retry policy of a fasthttp client that sends each request at most once.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Caller makes HTTP calls with JSON bodies to one service.
type Caller struct {
	service string
	client  *fasthttp.HostClient
}

// New returns a caller that uses the client; the service is named in errors.
func New(service string, client *fasthttp.HostClient) Caller {
	return Caller{service: service, client: client}
}

// Close closes the idle connections.
func (c Caller) Close() {
	c.client.CloseIdleConnections()
}

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Service string
	Status  int // HTTP status
}

// Error returns the name of the service and the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("%s: status %d", e.Service, e.Status)
}

// Rejected reports whether the service says that it will never carry out the same request.
func (e StatusError) Rejected() bool {
	switch e.Status {
	case fasthttp.StatusBadRequest, fasthttp.StatusForbidden, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusUnprocessableEntity:
		return true
	}
	return false
}

// Post sends the body as JSON to the path and decodes the response into the target; a status other than 200 is an error.
func (c Caller) Post(path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.call(fasthttp.MethodPost, path, encoded, target)
}

// Get requests the path and decodes the response into the target; a status other than 200 is an error.
func (c Caller) Get(path string, target any) error {
	return c.call(fasthttp.MethodGet, path, nil, target)
}

func (c Caller) call(method, path string, body []byte, target any) error {
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
		return errors.WithStack(StatusError{Service: c.service, Status: response.StatusCode()})
	}
	return errors.WithStack(json.Unmarshal(response.Body(), target))
}
