package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/state/registry"
)

// stateMachine is the replicated state machine of one log. Only the control goroutine uses it.
type stateMachine interface {
	// prepare checks a proposed command on the leader and returns the data of its log entry. now is the leader's time.
	prepare(now time.Time, command []byte) ([]byte, error)
	// apply executes the committed entry at a log index and returns the encoded result.
	apply(index uint64, data []byte) ([]byte, error)
	snapshot() ([]byte, error)
	// restore replaces the state by that of a snapshot. Empty data stands for the empty state.
	restore(data []byte) error
}

// registryStateMachine holds the registry of bundles and approvals.
type registryStateMachine struct {
	keyring  *bundle.Keyring
	registry *registry.Registry
	// latestOrder returns what this member, as the leader, knows of the latest order of a rollout of a service.
	latestOrder func(now time.Time, service string) *registry.LatestOrder
}

func newRegistryStateMachine(keyring *bundle.Keyring) *registryStateMachine {
	return &registryStateMachine{keyring: keyring, registry: registry.New(keyring)}
}

// prepare reduces the update of a stage to the parts that the registry lacks, so that the log carries each part once,
// and sets what the leader knows of an order of a rollout.
func (s *registryStateMachine) prepare(now time.Time, data []byte) ([]byte, error) {
	command, err := registry.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	if command.Rollout != nil {
		command.Stamp(now, func(service string) *registry.LatestOrder { return s.latestOrder(now, service) })
		return registry.EncodeCommand(command)
	}
	if command.Stage == nil {
		return data, nil
	}
	// A stage that cannot be reduced is committed as it is: applying it returns the reason for the refusal.
	if reduced, err := s.registry.Shrink(*command.Stage); err == nil {
		command.Stage = &reduced
	}
	return registry.EncodeCommand(command)
}

func (s *registryStateMachine) apply(index uint64, data []byte) ([]byte, error) {
	command, err := registry.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	return protocol.Marshal(s.registry.Apply(index, command))
}

func (s *registryStateMachine) snapshot() ([]byte, error) { return s.registry.Snapshot() }

func (s *registryStateMachine) restore(data []byte) error {
	if len(data) == 0 {
		s.registry = registry.New(s.keyring)
		return nil
	}
	restored, err := registry.Restore(s.keyring, data)
	if err != nil {
		return errors.Wrap(err, "control: restore registry")
	}
	s.registry = restored
	return nil
}

// ledgerStateMachine holds one part of the ledger of irreversible calls.
type ledgerStateMachine struct {
	config ledger.Config
	ledger *ledger.Ledger
}

func newLedgerStateMachine(config ledger.Config) *ledgerStateMachine {
	return &ledgerStateMachine{config: config, ledger: ledger.New(config)}
}

// prepare sets the time of the command to the leader's, so that all replicas apply the command at the same time.
func (s *ledgerStateMachine) prepare(now time.Time, data []byte) ([]byte, error) {
	var command ledger.Command
	if err := protocol.Unmarshal(data, &command); err != nil {
		return nil, err
	}
	command.NowMs = now.UnixMilli()
	return protocol.Marshal(command)
}

func (s *ledgerStateMachine) apply(_ uint64, data []byte) ([]byte, error) {
	var command ledger.Command
	if err := protocol.Unmarshal(data, &command); err != nil {
		return nil, err
	}
	return protocol.Marshal(s.ledger.Apply(command))
}

func (s *ledgerStateMachine) snapshot() ([]byte, error) { return s.ledger.Snapshot() }

func (s *ledgerStateMachine) restore(data []byte) error {
	if len(data) == 0 {
		s.ledger = ledger.New(s.config)
		return nil
	}
	restored, err := ledger.Restore(s.config, data)
	if err != nil {
		return errors.Wrap(err, "control: restore ledger")
	}
	s.ledger = restored
	return nil
}
