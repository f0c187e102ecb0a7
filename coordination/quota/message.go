package quota

import "time"

// Request is sent by a node to the owner. It returns tokens and asks for others, of several teams at once.
type Request struct {
	Node    string   `cbor:"1,keyasint"`
	Asks    []Ask    `cbor:"2,keyasint,omitempty"`
	Returns []Return `cbor:"3,keyasint,omitempty"`
}

// Ask asks for tokens of one team.
type Ask struct {
	Team string `cbor:"1,keyasint"`
	// Need is the number of requests that wait for a token. Want is how many more tokens the node expects to spend within
	// the lifetime of a lease.
	Need int `cbor:"2,keyasint,omitempty"`
	Want int `cbor:"3,keyasint,omitempty"`
	// Refused is the number of requests that the node refused for the quota since its last ask, and Asked that of all
	// requests of the team.
	Refused int `cbor:"4,keyasint,omitempty"`
	Asked   int `cbor:"5,keyasint,omitempty"`
}

// Return gives unspent tokens of a lease back.
type Return struct {
	Team   string `cbor:"1,keyasint"`
	Lease  uint64 `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

// Reply is the reply of a control member to a Request.
type Reply struct {
	// IsOwner is set if the member is the owner of the accounts. Otherwise it names the mesh address of the owner, if it
	// knows that.
	IsOwner bool    `cbor:"1,keyasint,omitempty"`
	Owner   string  `cbor:"2,keyasint,omitempty"`
	Grants  []Grant `cbor:"3,keyasint,omitempty"`
	// Outside is set if the sender is no member and knows no owner: there may be one.
	Outside bool `cbor:"4,keyasint,omitempty"`
}

// Grant lends tokens of one team.
type Grant struct {
	Team   string `cbor:"1,keyasint"`
	Lease  uint64 `cbor:"2,keyasint,omitempty"`
	Tokens int    `cbor:"3,keyasint,omitempty"`
	// Lifetime is the time for which the tokens may be spent, counted from the time at which the node sent its request.
	Lifetime time.Duration `cbor:"4,keyasint,omitempty"`
	// If the team has used up its quota, RetryAfter is when callers may expect to be let in, and Pause is the time for
	// which the node does not ask again. Both are 0 if there are fewer tokens than needed for another reason.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	Pause      time.Duration `cbor:"6,keyasint,omitempty"`
}
