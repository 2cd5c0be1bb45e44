package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"cindersaddle/internal/membership"
)

// ProcessConfig is the content of a sidecar's configuration file, with the platform's keys.
type ProcessConfig struct {
	Name      string                  `json:"name"`
	Listen    string                  `json:"listen"`
	Admin     string                  `json:"mgmt,omitempty"`
	Discovery string                  `json:"discovery"`
	Seed      string                  `json:"seed"`
	Limits    ProcessLimits           `json:"limits"`
	Known     membership.EndpointList `json:"known"`
	Settings  any                     `json:"settings"`
}

// ProcessLimits are the resources that a sidecar may use.
type ProcessLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // maximum number of open sockets
}

// configPath returns the path of the configuration file.
func (p *Process) configPath() string { return filepath.Join(p.dir, p.Config.Name+".json") }

// WriteConfig replaces the configuration file atomically: it writes a temporary file and renames it.
func (p *Process) WriteConfig(config ProcessConfig) error {
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode the configuration of %s: %w", config.Name, err)
	}
	p.Config = config
	temporaryPath := p.configPath() + ".part"
	if err := os.WriteFile(temporaryPath, text, 0o600); err != nil {
		return fmt.Errorf("write the configuration of %s: %w", config.Name, err)
	}
	return os.Rename(temporaryPath, p.configPath())
}
