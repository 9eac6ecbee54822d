package entry

import "time"

// DropUnusedGroups deactivates the groups that would be unused at a time.
func (h *Host) DropUnusedGroups(now time.Duration) { h.dropUnusedGroups(now) }
