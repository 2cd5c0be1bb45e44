package config

import "errors"

// errPathNotSet is returned by Load if the environment does not give the path of the configuration file.
var errPathNotSet = errors.New(envConfigPath + " is not set: want the path of the configuration file")

// Load reads the configuration file at the path in NODE_CONFIG. The other NODE_ variables override keys of the file.
// The text of an error is a single line; an error about the file is a *FileError.
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
