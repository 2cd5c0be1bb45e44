package config

// Getenv returns the value of an environment variable, or an empty text where it is not set, as os.Getenv does.
type Getenv func(name string) string

// Environment variables. Each of the overrides replaces a key of the file.
const (
	envConfigPath = "NODE_CONFIG" // the path of the configuration file
	envName       = "NODE_NAME"
	envListen     = "NODE_LISTEN"
	envAdmin      = "NODE_MGMT"
	envDiscovery  = "NODE_DISCOVERY"
	envScratchDir = "TMPDIR"
)

// configPathEnvironment returns an environment that holds the path of the configuration file and nothing else.
func configPathEnvironment(path string) Getenv {
	return func(name string) string {
		if name == envConfigPath {
			return path
		}
		return ""
	}
}
