package logging

// Messages of log lines about requests. sapphirectl trace finds the lines by these texts.
const (
	RequestAnswered = "request answered"
	RequestFailed   = "request failed"
	RequestRefused  = "request refused"
	AttemptFailed   = "attempt failed; another instance gets the request"
	CallAnswered    = "call answered"
	CallFailed      = "call failed"
	CallRefused     = "call refused"
	UpstreamFull    = "upstream is full; calls are refused"
)
