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

// NewLogger returns the logger of a daemon. Decisions are never sampled here;
// the settings say which share of them is logged.
func NewLogger(c LogConfig) (*zap.Logger, error) {
	level, err := parseLevel(c.Level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Encoding = c.Format
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return logger, nil
}
