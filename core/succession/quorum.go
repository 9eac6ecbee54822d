package succession

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

// MaxVoters is how many hosts judge a primary. It is the size of the small
// fleets, where all do; in a large one every further voice costs a member a
// connection and the store a write, and adds little: the voters are spread by
// hashing, so that they see a cut as the fleet does.
const MaxVoters = 9

// Order returns the hosts in the order in which they look after a service. It
// differs between services.
func Order(service string, live []string) []string {
	return membership.RankBy(service, live, func(host string) string { return host })
}

// Voters returns the hosts that judge the primary of a service.
func Voters(service string, live []string) []string {
	order := Order(service, live)
	return order[:min(len(order), MaxVoters)]
}

// Lost reports whether enough hosts have lost the primary to replace it: more
// than half of the voters. A cut between the primary and some hosts must
// not cost the writes that the other hosts had acknowledged.
func Lost(suspecting, voters []string) bool {
	if len(voters) == 0 {
		return false
	}
	count := 0
	for _, host := range suspecting {
		if slices.Contains(voters, host) {
			count++
		}
	}
	return 2*count > len(voters)
}
