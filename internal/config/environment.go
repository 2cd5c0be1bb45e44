package config

// Getenv returns the value of an environment variable, or an empty string if it is not set, as os.Getenv does.
type Getenv func(name string) string

// Environment variables that the configuration depends on.
const (
	envConfigPath  = "NODE_CONFIG"    // the path of the configuration file
	envName        = "NODE_NAME"      // overrides the key name
	envListen      = "NODE_LISTEN"    // overrides the key listen
	envAdminListen = "NODE_MGMT"      // overrides the key mgmt
	envDiscovery   = "NODE_DISCOVERY" // overrides the key discovery
	envScratchDir  = "TMPDIR"         // the value of Config.ScratchDir
)

// configPathEnvironment returns an environment in which only the path of the configuration file is set.
func configPathEnvironment(path string) Getenv {
	return func(name string) string {
		if name == envConfigPath {
			return path
		}
		return ""
	}
}
