package chutebackend

// The headers between entry hosts and backend servers. A backend server returns the id and attempt of the request
// that it answers.
const (
	HeaderRequestID = "Chute-Request-Id"
	HeaderAttempt   = "Chute-Attempt"
	// HeaderNotRun in an answer says that the request did not run.
	HeaderNotRun = "Chute-Not-Run"
	// HeaderLeaving in an answer says that the backend server takes no new requests.
	HeaderLeaving = "Chute-Leaving"
	// ProbePath is requested to see whether a backend server is alive.
	ProbePath = "/health"
)
