package owner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRestartedOwnerRefusesTransactionsOfItsEarlierProcess guards against a statement that
// runs in another transaction of the same sender after the owner has restarted.
func TestRestartedOwnerRefusesTransactionsOfItsEarlierProcess(t *testing.T) {
	const sender = "host-2/1"
	earlier, later := newTransactions(), newTransactions()
	id := earlier.add(sender, nil, nil)
	later.add(sender, nil, nil)
	_, found := later.reserve(id, sender, nil)
	require.False(t, found)
}
