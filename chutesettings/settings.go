package chutesettings

import (
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteform"
)

// MaxFileBytes is the largest settings file, in bytes.
const MaxFileBytes = 64 << 10

const (
	// defaultMemoryMB is the default memory limit. A host with ordinary load uses below 100 MiB.
	defaultMemoryMB = 1024
	// minMemoryMB is the smallest memory limit that leaves room for two bodies of the largest size beside a host's own memory.
	minMemoryMB = 256
	// minFiles is the smallest number of descriptors with which a host reaches the store, workers, peers and clients.
	minFiles = 256
)

// Settings are the settings of an entry host that serves the project's own HTTP API, that of package chutefront. Decoding
// errors, which operators see, contain the names of this type and of its fields.
type Settings struct {
	HostID                   string             `toml:"host-id"`                     // id of the entry host, unique among the live ones
	Zone                     string             `toml:"availability-zone"`           // availability zone of the entry host
	FrontAddress             string             `toml:"front-address"`               // listen address for clients and operators, host:port
	PeerAddress              string             `toml:"peer-address"`                // listen address for other entry hosts, host:port
	StoreAddress             string             `toml:"store-address"`               // address of the platform's table service, host:port
	StopTimeout              chuteform.Duration `toml:"stop-timeout"`                // longest duration of a planned stop
	DrainDelay               chuteform.Duration `toml:"drain-delay"`                 // time for which a stopping host still refuses requests
	LogLevel                 string             `toml:"log-level"`                   // lowest level that is logged: debug, info, warn or error
	MemoryMB                 int                `toml:"memory-mb"`                   // memory that the process may use, in MiB
	MaxFiles                 int                `toml:"max-files"`                   // file descriptors that the process may have open; 0 means the limit of the system
	MaxConnections           int                `toml:"max-connections"`             // connections of clients; 0 means what memory and descriptors allow
	MaxConnectionsPerAddress int                `toml:"max-connections-per-address"` // of them from one address; 0 means three quarters
}

// Default returns the default values of the optional settings.
func Default() Settings {
	return Settings{
		StopTimeout: chuteform.Duration(30 * time.Second), DrainDelay: chuteform.Duration(3 * time.Second), LogLevel: "info",
		MemoryMB: defaultMemoryMB,
	}
}

// Load reads and validates the settings file at the path. The error lists all problems of the file.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if info.Size() > MaxFileBytes {
		return Settings{}, errors.Errorf("settings: over %d bytes", MaxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse decodes and validates settings in TOML. The error lists all problems.
func Parse(text []byte) (Settings, error) {
	settings := Default()
	var problems []string
	if err := chuteform.DecodeTOML(text, &settings); err != nil {
		problems = append(problems, err.Error())
	}
	problems = append(problems, settings.problems()...)
	if len(problems) > 0 {
		return Settings{}, errors.New("settings: " + strings.Join(problems, "; "))
	}
	return settings, nil
}

// problems returns one message for each invalid setting.
func (s Settings) problems() []string {
	var found []string
	if s.HostID == "" || strings.ContainsAny(s.HostID, "/ ") {
		found = append(found, "host-id: must be a name without slashes and spaces")
	}
	if s.Zone == "" {
		found = append(found, "availability-zone: must be given")
	}
	addresses := []struct{ name, value string }{
		{"front-address", s.FrontAddress}, {"peer-address", s.PeerAddress}, {"store-address", s.StoreAddress},
	}
	for _, a := range addresses {
		if !validAddress(a.value) {
			found = append(found, a.name+": must be an IP number and a port")
		}
	}
	if time.Duration(s.StopTimeout) < time.Second {
		found = append(found, "stop-timeout: must be at least 1s")
	}
	if time.Duration(s.DrainDelay) < 0 || s.DrainDelay > s.StopTimeout {
		found = append(found, "drain-delay: must be 0s to the stop-timeout")
	}
	if _, err := s.Level(); err != nil {
		found = append(found, "log-level: must be debug, info, warn or error")
	}
	if s.MemoryMB < minMemoryMB {
		found = append(found, "memory-mb: must be at least "+strconv.Itoa(minMemoryMB))
	}
	if s.MaxFiles != 0 && s.MaxFiles < minFiles {
		found = append(found, "max-files: must be 0 or at least "+strconv.Itoa(minFiles))
	}
	if s.MaxConnections < 0 || s.MaxConnectionsPerAddress < 0 {
		found = append(found, "max-connections, max-connections-per-address: must not be negative")
	}
	return found
}

// validAddress reports whether the address consists of an IP address and a port number.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= 65535
}

// Level returns the log level, or an error if its name is unknown.
func (s Settings) Level() (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(s.LogLevel))
	return level, errors.WithStack(err)
}
