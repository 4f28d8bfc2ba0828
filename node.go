package monsoonchute

import (
	"log/slog"

	"monsoonchute.example/monsoonchute/chutenode"
	"monsoonchute.example/monsoonchute/chutesettings"
)

// Node is a running entry host.
type Node = chutenode.Node

// Option configures a Node.
type Option func(*options)

type options struct {
	log *slog.Logger
}

// WithLog sets the logger of the node. Without it, the node uses slog.Default.
func WithLog(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// New starts an entry host with the settings. The returned clean-up function performs a planned stop. The error names
// the setting with the address on which New cannot listen.
func New(settings chutesettings.Settings, opts ...Option) (Node, func(), error) {
	config := options{log: slog.Default()}
	for _, option := range opts {
		option(&config)
	}
	return chutenode.New(settings, config.log)
}
