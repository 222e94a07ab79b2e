package launcher

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func parseLevel(level string) (zapcore.Level, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return parsed, fmt.Errorf("parse log level: %w", err)
	}
	return parsed, nil
}

// NewLogger returns a logger that writes to output. The logger does not sample; the share
// of placement decisions that is logged is given by the settings.
func NewLogger(c LogConfig, output zapcore.WriteSyncer) (*zap.Logger, error) {
	level, err := parseLevel(c.Level)
	if err != nil {
		return nil, err
	}
	return NewLeveledLogger(c.Format, output, zap.NewAtomicLevelAt(level)), nil
}

// NewLeveledLogger returns a logger whose level may be changed during use.
func NewLeveledLogger(format string, output zapcore.WriteSyncer, level zap.AtomicLevel) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	return zap.New(zapcore.NewCore(encoder, output, level))
}
