// Package config reads the static settings of one instance from TOML. What
// operators change while the system runs is not here but in the table.
package config

import (
	"time"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/instance"
)

// Settings is a whole settings file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Platform Platform `toml:"platform"`
	Peer     Peer     `toml:"peer"`
	Operator Operator `toml:"operator"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// Instance says who the instance is and where callers reach it.
type Instance struct {
	Name string `toml:"name"`
	// Zone is the availability zone.
	Zone string `toml:"zone"`
	// Listen is the TCP address for callers, Advertise the one that they are
	// told; empty means the same.
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
}

// Platform names the platform's services, "ip:port" each.
type Platform struct {
	Log          string `toml:"log"`
	InstanceList string `toml:"instance_list"`
	WeightStore  string `toml:"weight_store"`
}

// Peer is the interface between siblings.
type Peer struct {
	// Listen is the UDP address, Advertise the one that siblings use.
	Listen      string `toml:"listen"`
	Advertise   string `toml:"advertise"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"`
}

// Operator is the operators' interface.
type Operator struct {
	Listen string `toml:"listen"`
	// ReadToken and EditToken are the bearer tokens for looking and editing.
	ReadToken string `toml:"read_token"`
	EditToken string `toml:"edit_token"`
}

// Limits bounds what callers can make the instance spend. Zero means the
// default.
type Limits struct {
	MaxBodyBytes     int `toml:"max_body_bytes"`
	ReadSeconds      int `toml:"read_seconds"`
	MaxConnections   int `toml:"max_connections"`
	MaxTokens        int `toml:"max_tokens"`
	KeepSeconds      int `toml:"keep_seconds"`
	OperationSeconds int `toml:"operation_seconds"`
	StaleSeconds     int `toml:"stale_after_seconds"`
}

// Log sets what is logged.
type Log struct {
	// Verbosity is klog's -v: 0 for the usual, 2 for each request's end.
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
	overrideSeconds(&config.KeepAnswer, s.Limits.KeepSeconds)
	overrideSeconds(&config.OperationLife, s.Limits.OperationSeconds)
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
