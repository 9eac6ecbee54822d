package conf

import (
	"fmt"
	"strings"
)

// InvalidError lists the problems found in a configuration.
type InvalidError struct {
	Problems []string
}

func (e *InvalidError) Error() string {
	return "configuration is invalid: " + strings.Join(e.Problems, "; ")
}

// VersionGapError reports a change whose version is not the successor of the
// current one.
type VersionGapError struct {
	Current, Change uint64
}

func (e *VersionGapError) Error() string {
	return fmt.Sprintf("configuration change %d does not follow version %d", e.Change, e.Current)
}
