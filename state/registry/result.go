package registry

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Code tells whether a command succeeded, or why it was refused.
type Code uint8

const (
	CodeOK Code = iota
	// CodeVersionTaken means that the version was approved with another digest.
	CodeVersionTaken
	// CodeVersionOld means that a greater version is approved.
	CodeVersionOld
	// CodeWithdrawn means that the version was withdrawn by a stop and cannot be used again.
	CodeWithdrawn
	// CodeNotLatest means that the version to be replaced or stopped is not the latest approved one.
	CodeNotLatest
	// CodeUnknownVersion means that the version to be stopped is neither staged nor approved.
	CodeUnknownVersion
	// CodeMissingParts means that the registry lacks parts of the bundle, or the base of an update.
	CodeMissingParts
	// CodeInvalid means that the bundle does not validate.
	CodeInvalid
	// CodeUnauthorized means that the operator is unknown or the signature does not verify.
	CodeUnauthorized
	// CodeMalformed means that the command cannot be decoded or lacks a field.
	CodeMalformed
	// CodeRolloutRunning means that another rollout of the service is in progress.
	CodeRolloutRunning
	// CodeRolloutChanged means that the rollout has ended or changed since the command was made.
	CodeRolloutChanged
	// CodeUnknownService means that the latest approved bundle does not declare the service.
	CodeUnknownService
	// CodeUnknownRollout means that the service has no rollout of the release.
	CodeUnknownRollout
	// CodeMaybeCopy means that the order may be a copy of the latest one, or another order: it can be told apart later.
	CodeMaybeCopy
)

// Errors that Result.Err returns. Callers test for them with errors.Is.
var (
	ErrVersionTaken   = errors.New("registry: version is already approved with another digest")
	ErrVersionOld     = errors.New("registry: a greater version is already approved")
	ErrWithdrawn      = errors.New("registry: version was withdrawn")
	ErrNotLatest      = errors.New("registry: version is not the latest approved one")
	ErrUnknownVersion = errors.New("registry: version is neither staged nor approved")
	ErrMissingParts   = errors.New("registry: parts of the bundle or the base of the update are missing")
	ErrInvalid        = errors.New("registry: bundle does not validate")
	ErrUnauthorized   = errors.New("registry: operator is unknown or the signature does not verify")
	ErrMalformed      = errors.New("registry: malformed command")
	ErrRolloutRunning = errors.New("registry: another rollout of the service is in progress")
	ErrRolloutChanged = errors.New("registry: rollout has ended or changed")
	ErrUnknownService = errors.New("registry: service is not in the latest approved bundle")
	ErrUnknownRollout = errors.New("registry: service has no rollout of the release")
	ErrMaybeCopy      = errors.New("registry: the order may be a copy of the latest one")
)

// Effect tells what a successful command did.
type Effect string

const (
	EffectStaged          Effect = "staged"
	EffectApproved        Effect = "approved"
	EffectWithdrawn       Effect = "withdrawn"
	EffectStopped         Effect = "stopped"
	EffectRolloutStarted  Effect = "rollout-started"
	EffectRolloutAdvanced Effect = "rollout-advanced"
	EffectRolloutCanceled Effect = "rollout-canceled"
)

// Result is the result of a command.
type Result struct {
	Code    Code   `cbor:"1,keyasint,omitempty"`
	Message string `cbor:"2,keyasint,omitempty"`
	// Effect is set when Code is CodeOK.
	Effect Effect `cbor:"3,keyasint,omitempty"`
	// Approval is the approval that the command or an equal earlier one created, or that of the version that the command
	// stopped.
	Approval *bundle.Approval `cbor:"4,keyasint,omitempty"`
	// Winner is the approval because of which the command was refused, if there is one.
	Winner *bundle.Approval `cbor:"5,keyasint,omitempty"`
	// Index is the log index of the command that has this result. For a command that was sent again, it is that of the
	// first copy.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// Problems lists the problems of the bundle when Code is CodeInvalid.
	Problems bundle.Problems `cbor:"7,keyasint,omitempty"`
}

var errorsByCode = map[Code]error{
	CodeVersionTaken:   ErrVersionTaken,
	CodeVersionOld:     ErrVersionOld,
	CodeWithdrawn:      ErrWithdrawn,
	CodeNotLatest:      ErrNotLatest,
	CodeUnknownVersion: ErrUnknownVersion,
	CodeMissingParts:   ErrMissingParts,
	CodeInvalid:        ErrInvalid,
	CodeUnauthorized:   ErrUnauthorized,
	CodeMalformed:      ErrMalformed,
	CodeRolloutRunning: ErrRolloutRunning,
	CodeRolloutChanged: ErrRolloutChanged,
	CodeUnknownService: ErrUnknownService,
	CodeUnknownRollout: ErrUnknownRollout,
	CodeMaybeCopy:      ErrMaybeCopy,
}

// Err returns nil for CodeOK, and otherwise an error that wraps the error of the code.
func (r Result) Err() error {
	if r.Code == CodeOK {
		return nil
	}
	kind, ok := errorsByCode[r.Code]
	if !ok {
		return errors.Newf("registry: unknown code %d: %s", r.Code, r.Message)
	}
	return errors.Wrap(kind, r.Message)
}

func refuse(code Code, format string, args ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, args...)}
}
