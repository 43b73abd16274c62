// Package config reads the static settings of one instance from TOML. Settings
// that operators change while the system runs are in the table instead.
package config

import (
	"time"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/instance"
)

// Settings is the content of a settings file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Platform Platform `toml:"platform"`
	Peer     Peer     `toml:"peer"`
	Operator Operator `toml:"operator"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// Instance identifies the instance and sets where callers reach it.
type Instance struct {
	Name string `toml:"name"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Listen is the TCP address for callers. Advertise is the address that
	// callers are given; if empty, it is the same as Listen.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
}

// Platform holds the addresses of the platform's services, each "ip:port".
type Platform struct {
	Log          string `toml:"log"`
	InstanceList string `toml:"instance_list"`
	WeightStore  string `toml:"weight_store"`
}

// Peer configures the interface between siblings.
type Peer struct {
	// Listen is the UDP address for siblings. Advertise is the address that
	// siblings use; if empty, it is the same as Listen.
	Listen      string `toml:"listen"`
	Advertise   string `toml:"advertise"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"`
}

// Operator configures the operators' interface.
type Operator struct {
	Listen string `toml:"listen"`
	// ReadToken and EditToken are the bearer tokens for reading and editing.
	ReadToken string `toml:"read_token"`
	EditToken string `toml:"edit_token"`
}

// Limits bounds the resources that callers can make the instance use. Zero
// means the default.
type Limits struct {
	MaxBodyBytes     int `toml:"max_body_bytes"`
	ReadSeconds      int `toml:"read_seconds"`
	MaxConnections   int `toml:"max_connections"`
	MaxTokens        int `toml:"max_tokens"`
	KeepSeconds      int `toml:"keep_seconds"`
	OperationSeconds int `toml:"operation_seconds"`
	StaleSeconds     int `toml:"stale_after_seconds"`
}

// Log configures logging.
type Log struct {
	// Verbosity is klog's -v: 0 is the default, 2 also logs the end of each
	// request.
	Verbosity int `toml:"verbosity"`
}

// CallerLimits returns the limits of the callers' interface.
func (s *Settings) CallerLimits() caller.Limits {
	limits := caller.DefaultLimits()
	override(&limits.MaxBodyBytes, s.Limits.MaxBodyBytes)
	override(&limits.MaxConnections, s.Limits.MaxConnections)
	override(&limits.MaxTokens, s.Limits.MaxTokens)
	overrideSeconds(&limits.ReadTimeout, s.Limits.ReadSeconds)
	return limits
}

// InstanceConfig returns the configuration of the instance.
func (s *Settings) InstanceConfig() instance.Config {
	config := instance.DefaultRegion()
	config.Name = s.Instance.Name
	config.Zone = s.Instance.Zone
	config.Caller = orElse(s.Instance.Advertise, s.Instance.Listen)
	config.Peer = orElse(s.Peer.Advertise, s.Peer.Listen)
	overrideSeconds(&config.EntryTTL, s.Limits.KeepSeconds)
	overrideSeconds(&config.OperationIDTTL, s.Limits.OperationSeconds)
	overrideSeconds(&config.StaleAfter, s.Limits.StaleSeconds)
	return config
}

func override(value *int, with int) {
	if with != 0 {
		*value = with
	}
}

func overrideSeconds(value *time.Duration, seconds int) {
	if seconds != 0 {
		*value = time.Duration(seconds) * time.Second
	}
}

func orElse(value, otherwise string) string {
	if value != "" {
		return value
	}
	return otherwise
}
