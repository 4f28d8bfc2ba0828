package chutefront

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// defaultTimeout is the timeout of requests without a Chute-Timeout header.
	defaultTimeout = 10 * time.Second
	// maxTimeout is the longest timeout that a request may ask for.
	maxTimeout = 5 * time.Minute
)

// forwardRequest passes a client's request to the core and returns the response of the backend server. It copies the
// method, path and headers because fiber reuses its buffers after the handler has returned; readBody made the body.
func (f *Front) forwardRequest(c fiber.Ctx) error {
	request, err := parseRequest(c)
	if err != nil {
		f.recorder.Count("request-refused", chuteresult.FromError(err).Code.String())
		return f.sendResult(c, "", chuteresult.FromError(err))
	}
	message := chuteexchange.Message{
		Method: strings.Clone(c.Method()), Path: backendPath(c), ContentType: strings.Clone(c.Get(fiber.HeaderContentType)),
		Body: c.Body(),
	}
	request.Digest = contentDigest(message)
	id, pending, removeExchange := f.exchanges.OpenExchange(message)
	defer removeExchange()
	request.Exchange = id
	arrived := time.Now()
	if !f.events.Offer(chuteevent.RequestArrived{Request: request}) {
		f.recorder.Count("request-refused", chuteresult.Overloaded.String())
		return f.sendResult(c, request.ID, chuteresult.New(chuteresult.Overloaded, "the core's ring is full"))
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline.Add(responseMargin))
	defer cancel()
	answer, ok := pending.AwaitAnswer(ctx)
	f.recorder.Observe("request-time", time.Since(arrived))
	if !ok {
		f.recorder.Count("answer-dropped", "deadline")
		return f.sendResult(c, request.ID, chuteresult.New(chuteresult.AnswerLost, "no answer before the deadline"))
	}
	return f.sendResponse(c, request.ID, answer)
}

// sendResponse sends the backend server's response, or the result alone if its code is neither Done nor Recorded.
func (f *Front) sendResponse(c fiber.Ctx, requestID string, answer chuteevent.AnswerRequest) error {
	c.Set(HeaderRequestID, requestID)
	c.Set(HeaderResult, answer.Result.Code.String())
	c.Set(HeaderAttempts, strconv.Itoa(answer.Attempts))
	if answer.Result.Code != chuteresult.Done && answer.Result.Code != chuteresult.Recorded {
		return f.sendResult(c, requestID, answer.Result)
	}
	if answer.Answer.ContentType != "" {
		c.Set(fiber.HeaderContentType, answer.Answer.ContentType)
	}
	chuteconnection.HoldResponse(c.RequestCtx(), len(answer.Answer.Body))
	return c.Status(answer.Answer.Status).Send(answer.Answer.Body)
}

// parseRequest parses the headers of a request. Its errors are of type chuteresult.Result and name the header.
func parseRequest(c fiber.Ctx) (chuteevent.Request, error) {
	id, fromClient, err := parseRequestID(c)
	if err != nil {
		return chuteevent.Request{}, err
	}
	class, err := ParseClass(c.Get(HeaderClass))
	if err != nil {
		return chuteevent.Request{}, err
	}
	repeatable, err := parseRepeatable(c.Get(HeaderRepeatable), c.Method())
	if err != nil {
		return chuteevent.Request{}, err
	}
	timeout, err := parseTimeout(c.Get(HeaderTimeout))
	if err != nil {
		return chuteevent.Request{}, err
	}
	return chuteevent.Request{
		ID: id, HasClientID: fromClient, Service: strings.Clone(c.Params("service")), Class: class, Repeatable: repeatable,
		Deadline: time.Now().Add(timeout),
	}, nil
}

// ParseClass parses the value of the Chute-Class header. An empty value means the normal class.
func ParseClass(value string) (chuteevent.Class, error) {
	switch value {
	case "interactive":
		return chuteevent.ClassInteractive, nil
	case "", "normal":
		return chuteevent.ClassNormal, nil
	case "background":
		return chuteevent.ClassBackground, nil
	}
	return 0, chuteresult.New(chuteresult.Malformed, "%s: must be interactive, normal or background", HeaderClass)
}

// parseRepeatable reports whether the request may run more than once. Without the header, only GET and HEAD requests
// may.
func parseRepeatable(value, method string) (bool, error) {
	switch value {
	case "":
		return method == fiber.MethodGet || method == fiber.MethodHead, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, chuteresult.New(chuteresult.Malformed, "%s: must be true or false", HeaderRepeatable)
}

// parseTimeout parses the value of the Chute-Timeout header.
func parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, chuteresult.New(chuteresult.Malformed, "%s: must be a duration up to %s", HeaderTimeout, maxTimeout)
	}
	return timeout, nil
}

// backendPath returns the path and query that follow the service name in the request's path.
func backendPath(c fiber.Ctx) string {
	path := "/" + c.Params("*")
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return path
}

// contentDigest hashes the content of a request, to detect a request id that is reused for another content.
func contentDigest(m chuteexchange.Message) uint64 {
	hash := xxhash.New()
	for _, part := range []string{m.Method, m.Path, m.ContentType} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(m.Body)
	return hash.Sum64()
}
