package sidecar

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cindersaddle/internal/config"
	"cindersaddle/internal/sidecartest"
)

// configFile is a temporary copy of the tests' configuration file, which a test can change.
type configFile struct {
	t            *testing.T
	path         string
	originalText string // the content before all changes
}

// newConfigFile copies the configuration file of the tests into the test's temporary directory.
func newConfigFile(t *testing.T) *configFile {
	t.Helper()
	text, err := os.ReadFile(sidecartest.ConfigPath())
	if err != nil {
		t.Fatal(err)
	}
	file := &configFile{t, filepath.Join(t.TempDir(), "config.json"), string(text)}
	file.write(file.originalText)
	return file
}

// write replaces the content of the file.
func (file *configFile) write(text string) {
	file.t.Helper()
	if err := os.WriteFile(file.path, []byte(text), 0o600); err != nil {
		file.t.Fatal(err)
	}
}

// discoveryReplacement returns the replacement that sets the address of the discovery service to addr.
func discoveryReplacement(addr string) replacement {
	return replacement{`"discovery": "127.0.0.1:9"`, `"discovery": "` + addr + `"`}
}

// setDiscovery writes the original content with addr as the address of the discovery service.
func (file *configFile) setDiscovery(addr string) {
	file.t.Helper()
	file.write(file.replace(discoveryReplacement(addr)))
}

// replacement replaces every occurrence of the text old by new.
type replacement struct{ old, new string }

// replace returns the original content with all replacements applied. Each old text must occur in it.
func (file *configFile) replace(replacements ...replacement) string {
	file.t.Helper()
	var pairs []string
	for _, change := range replacements {
		if !strings.Contains(file.originalText, change.old) {
			file.t.Fatalf("the configuration file does not contain %s, which the test replaces", change.old)
		}
		pairs = append(pairs, change.old, change.new)
	}
	return strings.NewReplacer(pairs...).Replace(file.originalText)
}

// load loads the configuration from the file and the given environment variables.
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
