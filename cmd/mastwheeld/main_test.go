package main

import (
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mastwheel/mastwheel/peer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"mastwheeld": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts", Setup: writeSettings})
}

// settings is a valid settings file. writeSettings replaces the names in upper
// case by addresses with free ports.
const settings = `[instance]
name = "sabana-1"
zone = "sabana"
listen = "CALLERS"
[platform]
log = "PLATFORM"
instance_list = "PLATFORM"
weight_store = "PLATFORM"
[peer]
listen = "PEERS"
certificate = "instance.crt"
key = "instance.key"
authorities = "authorities.crt"
[operator]
listen = "OPERATORS"
read_token = "0123456789abcdef"
edit_token = "fedcba9876543210"
`

// writeSettings writes a valid settings file, its key files and two invalid
// settings files into a script's working directory.
func writeSettings(env *testscript.Env) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	files, err := authority.PEM("sabana-1")
	if err != nil {
		return err
	}
	good := settings
	for _, placeholder := range []string{"CALLERS", "PLATFORM", "PEERS", "OPERATORS"} {
		address, err := freePort()
		if err != nil {
			return err
		}
		good = strings.ReplaceAll(good, placeholder, address)
	}
	bad := strings.Replace(good, `zone = "sabana"`, `zone = "Sabana!"`, 1)
	bad = regexp.MustCompile(`(?m)^listen = .*$`).ReplaceAllString(bad, `listen = "localhost:1"`)
	files["good.toml"] = []byte(good)
	files["bad.toml"] = []byte(bad)
	files["unknown.toml"] = []byte(good + "[limits]\nkeep_secnds = 3\n")
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
