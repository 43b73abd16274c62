package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Error is one error in a settings file.
type Error struct {
	File string
	// Line counts from 1. It is 0 if the key is missing from the file.
	Line  int
	Key   string
	Cause string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Cause)
}

// Load reads and validates a settings file. The returned error lists every error
// in the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. Its errors give file as the name of the
// settings file.
func Parse(file string, data []byte) (*Settings, error) {
	settings := new(Settings)
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return nil, decodeError(file, err)
	}
	c := checker{file: file, lines: keyLines(data)}
	c.check(settings)
	if len(c.faults) > 0 {
		return nil, joinFaults(c.faults)
	}
	return settings, nil
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var faults []*Error
		for _, missing := range strict.Errors {
			line, _ := missing.Position()
			faults = append(faults, &Error{file, line, strings.Join(missing.Key(), "."), "no such setting"})
		}
		return joinFaults(faults)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return &Error{file, line, strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return errors.Wrap(err, file)
}

func joinFaults(faults []*Error) error {
	if len(faults) == 1 {
		return faults[0]
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.Error())
	}
	return errors.New(strings.Join(lines, "\n"))
}

// keyLines returns the line number of each key. Keys have the form "table.key".
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(&parser, expression)
		if expression.Kind == unstable.Table {
			table = key + "."
			lines[key] = line
			continue
		}
		lines[table+key] = line
	}
	return lines
}

func keyOf(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		line = parser.Shape(node.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

// checker collects the errors in one settings file.
type checker struct {
	file   string
	lines  map[string]int
	faults []*Error
}

func (c *checker) fault(key, cause string) {
	c.faults = append(c.faults, &Error{File: c.file, Line: c.lines[key], Key: key, Cause: cause})
}

// validName matches instance and zone names that can be used inside IDs.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const (
	// minTokenLength prevents operators' tokens that are easy to guess.
	minTokenLength = 16
	maxSeconds     = 86_400
	maxCount       = 1 << 30
)

func (c *checker) check(s *Settings) {
	c.name("instance.name", s.Instance.Name)
	c.name("instance.zone", s.Instance.Zone)
	c.address("instance.listen", s.Instance.Listen)
	c.optionalAddress("instance.advertise", s.Instance.Advertise)
	c.address("platform.log", s.Platform.Log)
	c.address("platform.instance_list", s.Platform.InstanceList)
	c.address("platform.weight_store", s.Platform.WeightStore)
	c.address("peer.listen", s.Peer.Listen)
	c.optionalAddress("peer.advertise", s.Peer.Advertise)
	c.existingFile("peer.certificate", s.Peer.Certificate)
	c.existingFile("peer.key", s.Peer.Key)
	c.existingFile("peer.authorities", s.Peer.Authorities)
	c.address("operator.listen", s.Operator.Listen)
	c.token("operator.read_token", s.Operator.ReadToken)
	c.token("operator.edit_token", s.Operator.EditToken)
	c.inRange("limits.max_body_bytes", s.Limits.MaxBodyBytes, maxCount)
	c.inRange("limits.read_seconds", s.Limits.ReadSeconds, maxSeconds)
	c.inRange("limits.max_connections", s.Limits.MaxConnections, maxCount)
	c.inRange("limits.max_tokens", s.Limits.MaxTokens, maxCount)
	c.inRange("limits.keep_seconds", s.Limits.KeepSeconds, maxSeconds)
	c.inRange("limits.operation_seconds", s.Limits.OperationSeconds, maxSeconds)
	c.inRange("limits.stale_after_seconds", s.Limits.StaleSeconds, maxSeconds)
	c.inRange("log.verbosity", s.Log.Verbosity, 10)
}

func (c *checker) name(key, value string) {
	if !validName.MatchString(value) {
		c.fault(key, fmt.Sprintf("%q is not a name of lower-case letters, digits and hyphens", value))
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(key, fmt.Sprintf("%q is not an IP number with a port", value))
	}
}

func (c *checker) optionalAddress(key, value string) {
	if value != "" {
		c.address(key, value)
	}
}

// existingFile checks that a file exists.
func (c *checker) existingFile(key, value string) {
	if value == "" {
		c.fault(key, "is missing")
		return
	}
	if _, err := os.Stat(value); err != nil {
		c.fault(key, err.Error())
	}
}

func (c *checker) token(key, value string) {
	if len(value) < minTokenLength {
		c.fault(key, fmt.Sprintf("must have at least %d characters", minTokenLength))
	}
}

func (c *checker) inRange(key string, value, high int) {
	if value < 0 || value > high {
		c.fault(key, fmt.Sprintf("%d is outside 0 to %d", value, high))
	}
}
