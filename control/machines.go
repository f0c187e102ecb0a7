package control

import (
	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/state/registry"
)

// machines are the replicated state machines of one member. The control goroutine owns them.
type machines struct {
	keys         *bundle.Keyring
	ledgerConfig ledger.Config
	registry     *registry.Registry
	ledger       *ledger.Ledger
}

func newMachines(keys *bundle.Keyring, ledgerConfig ledger.Config) *machines {
	return &machines{
		keys: keys, ledgerConfig: ledgerConfig, registry: registry.New(keys), ledger: ledger.New(ledgerConfig),
	}
}

// apply executes a committed entry and returns the encoded result. changed tells that the registry may have changed.
func (s *machines) apply(entry raft.Entry) (result []byte, changed bool, err error) {
	if len(entry.Data) == 0 {
		return nil, false, errors.Wrap(protocol.ErrMalformed, "empty log entry")
	}
	target, data := protocol.Target(entry.Data[0]), entry.Data[1:]
	switch target {
	case protocol.TargetRegistry:
		command, err := registry.DecodeCommand(data)
		if err != nil {
			return nil, false, err
		}
		result, err := protocol.Marshal(s.registry.Apply(entry.Index, command))
		return result, true, err
	case protocol.TargetLedger:
		var command ledger.Command
		if err := protocol.Unmarshal(data, &command); err != nil {
			return nil, false, err
		}
		result, err := protocol.Marshal(s.ledger.Apply(command))
		return result, false, err
	default:
		return nil, false, errors.Wrapf(protocol.ErrMalformed, "unknown target %d", target)
	}
}

// snapshotData is the content of a raft snapshot.
type snapshotData struct {
	Registry []byte `cbor:"1,keyasint"`
	Ledger   []byte `cbor:"2,keyasint"`
}

func (s *machines) snapshot() ([]byte, error) {
	registryData, err := s.registry.Snapshot()
	if err != nil {
		return nil, err
	}
	ledgerData, err := s.ledger.Snapshot()
	if err != nil {
		return nil, err
	}
	return protocol.Marshal(snapshotData{Registry: registryData, Ledger: ledgerData})
}

// restore replaces both machines by those of a snapshot. Empty data stands for empty machines.
func (s *machines) restore(data []byte) error {
	if len(data) == 0 {
		s.registry, s.ledger = registry.New(s.keys), ledger.New(s.ledgerConfig)
		return nil
	}
	var content snapshotData
	if err := protocol.Unmarshal(data, &content); err != nil {
		return err
	}
	restoredRegistry, err := registry.Restore(s.keys, content.Registry)
	if err != nil {
		return err
	}
	restoredLedger, err := ledger.Restore(s.ledgerConfig, content.Ledger)
	if err != nil {
		return err
	}
	s.registry, s.ledger = restoredRegistry, restoredLedger
	return nil
}
