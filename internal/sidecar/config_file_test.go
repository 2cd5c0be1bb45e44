package sidecar

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cindersaddle/internal/config"
	"cindersaddle/internal/sidecartest"
)

// configFile is a copy of the tests' configuration file that a test can change.
type configFile struct {
	t          *testing.T
	path, text string
}

// newConfigFile copies the configuration file of the tests into a folder of the test.
func newConfigFile(t *testing.T) *configFile {
	t.Helper()
	text, err := os.ReadFile(sidecartest.ConfigPath())
	if err != nil {
		t.Fatal(err)
	}
	file := &configFile{t, filepath.Join(t.TempDir(), "config.json"), string(text)}
	file.write(file.text)
	return file
}

// write replaces the content of the file.
func (file *configFile) write(text string) {
	file.t.Helper()
	if err := os.WriteFile(file.path, []byte(text), 0o600); err != nil {
		file.t.Fatal(err)
	}
}

// discoveryReplacement changes the address of the discovery service.
func discoveryReplacement(addr string) replacement {
	return replacement{`"discovery": "127.0.0.1:9"`, `"discovery": "` + addr + `"`}
}

// setDiscovery writes the file with another address of the discovery service.
func (file *configFile) setDiscovery(addr string) {
	file.t.Helper()
	file.write(file.replace(discoveryReplacement(addr)))
}

// replacement is a change of the content of a file.
type replacement struct{ old, new string }

// replace returns the original content with replacements. Each old text must occur.
func (file *configFile) replace(replacements ...replacement) string {
	file.t.Helper()
	var pairs []string
	for _, change := range replacements {
		if !strings.Contains(file.text, change.old) {
			file.t.Fatalf("the configuration file does not contain %s", change.old)
		}
		pairs = append(pairs, change.old, change.new)
	}
	return strings.NewReplacer(pairs...).Replace(file.text)
}

// load reads the configuration from the file and the given environment.
func (file *configFile) load(env map[string]string) *config.Config {
	file.t.Helper()
	cfg, err := config.Load(func(name string) string {
		if name == "NODE_CONFIG" {
			return file.path
		}
		return env[name]
	})
	if err != nil {
		file.t.Fatal(err)
	}
	return cfg
}
