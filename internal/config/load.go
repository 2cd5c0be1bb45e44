package config

import "errors"

// errPathNotSet is the error of an environment that names no configuration file.
var errPathNotSet = errors.New(envConfigPath + " is not set")

// Load reads the configuration file that NODE_CONFIG names. The other NODE_ variables override its keys. Its errors
// are one line of text; those about the file are a *FileError.
func Load(getenv Getenv) (*Config, error) {
	path := getenv(envConfigPath)
	if path == "" {
		return nil, errPathNotSet
	}
	text, err := readFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	cfg, err := Parse(text, getenv)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	cfg.Reload = func() (*Config, error) { return Load(configPathEnvironment(path)) }
	return cfg, nil
}
