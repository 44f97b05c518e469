package peer

import (
	"context"
	"fmt"
	"log/slog"
)

// eventLoopLog writes gnet's log messages to the daemon's log. Info messages of gnet
// are logged at debug level.
type eventLoopLog struct{ log *slog.Logger }

func (l eventLoopLog) event(level slog.Level, format string, arguments []any) {
	l.log.Log(context.Background(), level, "event_loop", "text", fmt.Sprintf(format, arguments...))
}

// Debugf implements gnet's logger.
func (l eventLoopLog) Debugf(format string, arguments ...any) {
	l.event(slog.LevelDebug, format, arguments)
}

// Infof implements gnet's logger.
func (l eventLoopLog) Infof(format string, arguments ...any) {
	l.event(slog.LevelDebug, format, arguments)
}

// Warnf implements gnet's logger.
func (l eventLoopLog) Warnf(format string, arguments ...any) {
	l.event(slog.LevelWarn, format, arguments)
}

// Errorf implements gnet's logger.
func (l eventLoopLog) Errorf(format string, arguments ...any) {
	l.event(slog.LevelError, format, arguments)
}

// Fatalf implements gnet's logger.
func (l eventLoopLog) Fatalf(format string, arguments ...any) {
	l.event(slog.LevelError, format, arguments)
}
