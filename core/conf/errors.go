package conf

import (
	"fmt"
	"strings"
)

// InvalidError lists what is wrong with a configuration.
type InvalidError struct {
	Problems []string
}

func (e *InvalidError) Error() string {
	return "configuration is invalid: " + strings.Join(e.Problems, "; ")
}

// GapError reports a change that does not follow the version at hand.
type GapError struct {
	Have, Change uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("configuration change %d does not follow version %d", e.Change, e.Have)
}
