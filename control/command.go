package control

import (
	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/state/registry"
)

// encodeEntry returns the content of a log entry: one byte for the state machine, then the command.
func encodeEntry(target protocol.Target, command []byte) []byte {
	return append([]byte{byte(target)}, command...)
}

// prepare checks a proposal on the leader and returns the log entry. Registry stages are reduced to what the registry
// lacks, and ledger commands get the leader's time, so that all members apply the same one.
func (m *Member) prepare(nowMs int64, request *protocol.ProposeRequest) ([]byte, error) {
	switch request.Target {
	case protocol.TargetRegistry:
		return m.prepareRegistry(request.Command)
	case protocol.TargetLedger:
		var command ledger.Command
		if err := protocol.Unmarshal(request.Command, &command); err != nil {
			return nil, err
		}
		command.NowMs = nowMs
		data, err := protocol.Marshal(command)
		if err != nil {
			return nil, err
		}
		return encodeEntry(protocol.TargetLedger, data), nil
	default:
		return nil, errors.Wrapf(protocol.ErrMalformed, "unknown target %d", request.Target)
	}
}

func (m *Member) prepareRegistry(data []byte) ([]byte, error) {
	command, err := registry.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	if command.Stage != nil {
		// A stage that cannot be reduced is committed as it is; applying it gives the exact refusal.
		if reduced, err := m.machines.registry.Shrink(*command.Stage); err == nil {
			command.Stage = &reduced
		}
	}
	encoded, err := registry.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	return encodeEntry(protocol.TargetRegistry, encoded), nil
}
