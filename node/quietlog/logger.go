// Package quietlog keeps libraries from writing logs of their own.
package quietlog

// Logger drops all lines: a host logs its events itself.
type Logger struct{}

func (Logger) Debugf(string, ...any) {}
func (Logger) Infof(string, ...any)  {}
func (Logger) Warnf(string, ...any)  {}
func (Logger) Errorf(string, ...any) {}
func (Logger) Fatalf(string, ...any) {}
