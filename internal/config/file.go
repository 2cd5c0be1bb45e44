package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"hash/fnv"
	"strconv"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/settings"
)

// Keys of the configuration file that errors name, or that are looked up in the parsed document.
const (
	keyListen         = "listen"
	keyAdminListen    = "mgmt"
	keyDiscovery      = "discovery"
	keyLimits         = "limits"
	keySockets        = "limits.sockets"
	keyKnownEndpoints = "known"
	keySettings       = "settings"
)

// errMissing is the reason in a KeyError for a required key that is not in the file.
var errMissing = errors.New("missing")

// fileDocument is the structure of the configuration file. Keys not listed here are ignored.
type fileDocument struct {
	Name           string                  `json:"name"`
	Listen         string                  `json:"listen"`
	AdminListen    string                  `json:"mgmt"`
	Discovery      string                  `json:"discovery"`
	Seed           string                  `json:"seed"`
	Limits         Limits                  `json:"limits"`
	KnownEndpoints membership.EndpointList `json:"known"`
	Settings       json.RawMessage         `json:"settings"`
}

// Parse parses and checks the text of a configuration file, whose keys the NODE_ variables override. An error about a
// single key is a *KeyError of this package or of package settings. Config.Reload is nil in the result.
func Parse(text []byte, getenv Getenv) (*Config, error) {
	var file fileDocument
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	cfg := newConfig(&file, getenv)
	var err error
	if cfg.document, err = parseDocument(text); err != nil {
		return nil, err
	}
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if err := cfg.applySettings(&file); err != nil {
		return nil, err
	}
	return cfg, nil
}

// newConfig returns the configuration from a file and an environment. It neither checks the values nor reads the
// settings.
func newConfig(file *fileDocument, getenv Getenv) *Config {
	cfg := &Config{
		Name:                 cmp.Or(getenv(envName), file.Name),
		Listen:               cmp.Or(getenv(envListen), file.Listen),
		AdminListen:          cmp.Or(getenv(envAdminListen), file.AdminListen),
		Discovery:            cmp.Or(getenv(envDiscovery), file.Discovery),
		Limits:               file.Limits,
		KnownEndpoints:       file.KnownEndpoints,
		ScratchDir:           getenv(envScratchDir),
		ConnReuseDelay:       DefaultConnReuseDelay,
		AcceptDuringShutdown: DefaultAcceptDuringShutdown,
		fileDiscovery:        file.Discovery,
	}
	cfg.Limits.Sockets = cmp.Or(cfg.Limits.Sockets, defaultSockets)
	return cfg
}

// parseDocument parses the file for CheckReload.
func parseDocument(text []byte) (map[string]any, error) {
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	if document[keyKnownEndpoints] != nil {
		document[keyKnownEndpoints] = true // the endpoints change all the time, so only the presence of the key is compared
	}
	return document, nil
}

// applySettings sets the fields that come from the settings: the configuration of package balance, and the names
// of classes, tenants, zones, machine types and load report fields.
func (c *Config) applySettings(file *fileDocument) error {
	if len(file.Settings) == 0 {
		return &KeyError{Key: keySettings, Err: errMissing}
	}
	var err error
	if c.Balance, err = settings.Parse(parseSeed(file.Seed), file.Settings); err != nil {
		return err
	}
	return c.applyNames(file.Settings)
}

// parseSeed parses the seed as a hexadecimal number of up to 64 bits. Any other text is hashed.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}
