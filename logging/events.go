package logging

// Messages of the lines about requests, which sapphirectl trace reads.
const (
	RequestAnswered = "request answered"
	RequestFailed   = "request failed"
	RequestRefused  = "request refused"
	AttemptFailed   = "attempt failed; another instance gets the request"
	CallAnswered    = "call answered"
	CallFailed      = "call failed"
	CallRefused     = "call refused"
)
