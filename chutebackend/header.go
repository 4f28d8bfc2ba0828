package chutebackend

// HTTP headers and paths between entry hosts and backend servers. A backend server copies the id and attempt of a
// request into its response.
const (
	HeaderRequestID = "Chute-Request-Id"
	HeaderAttempt   = "Chute-Attempt"
	// HeaderNotRun is set in a response if the backend server did not run the request.
	HeaderNotRun = "Chute-Not-Run"
	// HeaderLeaving is set in a response if the backend server accepts no new requests.
	HeaderLeaving = "Chute-Leaving"
	// ProbePath is the path of a backend server's health check.
	ProbePath = "/health"
)
