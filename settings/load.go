package settings

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Problem describes one invalid value in a settings file and what is allowed instead.
type Problem struct {
	File    string `json:"file,omitempty"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: got %s, allowed: %s", p.File, p.Field, p.Value, p.Allowed)
}

// Problems lists all problems of a settings file. It is an error.
type Problems []Problem

// Error formats one problem per line.
func (p Problems) Error() string {
	lines := []string{fmt.Sprintf("settings: %d problems", len(p))}
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Default limits.
const (
	defaultMaxCalls       = 10_000
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultDrainTimeout   = 30 * time.Second
	defaultSlots          = 10
	defaultConnections    = 100
	defaultHealthInterval = time.Second

	defaultElectionTimeout   = time.Second
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultMaxAppendBytes    = 1 << 20
	defaultSnapshotEntries   = 10_000
	defaultDirectFollowers   = 32
	defaultLedgerGroups      = 1
	defaultJoinsPerSecond    = 50
	defaultMaxLedgerBytes    = 512 << 20
)

// DefaultNode returns the defaults of a node.
func DefaultNode() Node {
	return Node{Objectives: DefaultObjectives(), Limits: NodeLimits{
		MaxCalls:       defaultMaxCalls,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		MaxBodyBytes:   defaultMaxBodyBytes,
		DrainTimeout:   Duration(defaultDrainTimeout),
	}}
}

// DefaultUpstream returns the defaults of an upstream.
func DefaultUpstream() Upstream {
	return Upstream{
		Slots:          defaultSlots,
		Connections:    defaultConnections,
		HealthPath:     "/health",
		HealthInterval: Duration(defaultHealthInterval),
	}
}

// DefaultControl returns the defaults of a control process.
func DefaultControl() Control {
	return Control{LedgerGroups: defaultLedgerGroups, Objectives: DefaultObjectives(), Limits: ControlLimits{
		ElectionTimeout:   Duration(defaultElectionTimeout),
		HeartbeatInterval: Duration(defaultHeartbeatInterval),
		MaxAppendBytes:    defaultMaxAppendBytes,
		SnapshotEntries:   defaultSnapshotEntries,
		DirectFollowers:   defaultDirectFollowers,
		JoinsPerSecond:    defaultJoinsPerSecond,
		MaxLedgerBytes:    defaultMaxLedgerBytes,
		StopTimeout:       Duration(defaultDrainTimeout),
	}}
}

// LoadNode reads the settings of a node. The error is of type Problems if the file was read but its content is invalid.
func LoadNode(file string) (Node, error) {
	data, err := readFile(file)
	if err != nil {
		return Node{}, err
	}
	return ParseNode(file, data)
}

// LoadControl reads the settings of a control process. The error is of type Problems if the file was read but its
// content is invalid.
func LoadControl(file string) (Control, error) {
	data, err := readFile(file)
	if err != nil {
		return Control{}, err
	}
	return ParseControl(file, data)
}

func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings: read file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = errors.Newf("%s is larger than %d bytes", file, maxFileBytes)
	}
	return data, errors.Wrap(err, "settings: read file")
}

// ParseNode decodes the settings of a node; file is used in error messages.
func ParseNode(file string, data []byte) (Node, error) {
	node := DefaultNode()
	upstream := DefaultUpstream()
	node.Upstream = &upstream
	c := checker{file: file}
	present := c.decode(data, &node)
	if !present["upstream"] {
		node.Upstream = nil
	}
	if node.Advertise == "" {
		node.Advertise = node.Mesh
	}
	node.Join = withPort(node.Join, node.JoinPort)
	c.node(node)
	return node, c.err()
}

// ParseControl decodes the settings of a control process; file is used in error messages.
func ParseControl(file string, data []byte) (Control, error) {
	control := DefaultControl()
	c := checker{file: file}
	c.decode(data, &control)
	if control.Advertise == "" {
		control.Advertise = control.Mesh
	}
	control.Join = withPort(control.Join, control.JoinPort)
	if control.AdvertiseAdmin == "" {
		control.AdvertiseAdmin = control.Admin
	}
	c.control(control)
	return control, c.err()
}

// withPort returns the addresses with their ports replaced by port. A port of 0 keeps them.
func withPort(addresses []string, port int) []string {
	if port == 0 {
		return addresses
	}
	replaced := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			address = net.JoinHostPort(host, strconv.Itoa(port))
		}
		replaced = append(replaced, address)
	}
	return replaced
}

// decode decodes the data, records the problems and returns the set of top-level fields that are present.
func (c *checker) decode(data []byte, into any) map[string]bool {
	for _, fault := range strictjson.Decode(data, into) {
		c.problems = append(c.problems, Problem{File: c.file, Field: fault.Path, Value: fault.Value, Allowed: fault.Allowed})
		c.undecoded = append(c.undecoded, fault.Path)
	}
	return strictjson.Keys(data)
}
