package entry_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openTransaction is a caller's transaction with one write.
type openTransaction struct {
	c     *client
	first string
}

// beginOn opens transactions through hosts.
func (d *deployment) beginOn(hosts []int, perHost int) []openTransaction {
	d.t.Helper()
	var out []openTransaction
	for _, host := range hosts {
		for range perHost {
			c := d.connect(host, "strict")
			c.must("BEGIN")
			out = append(out, openTransaction{c: c, first: c.must("STORE item first").id})
		}
	}
	return out
}

// finish writes once more and commits. It returns the IDs of the writes and whether the
// transaction was acknowledged.
func (tx openTransaction) finish() (writes []string, acknowledged bool) {
	tx.c.t.Helper()
	res := tx.c.do("STORE item second")
	writes = []string{tx.first, res.id}
	if res.code == "" {
		res = tx.c.do("COMMIT")
	}
	if res.code != "" {
		require.Equal(tx.c.t, "ABORTED", res.code, res.detail)
	}
	return writes, res.code == ""
}

// TestRestartedHostRefusesTransactionsOfItsEarlierProcess guards against a statement that
// runs in another caller's transaction after the host that keeps transactions for others has
// restarted.
func TestRestartedHostRefusesTransactionsOfItsEarlierProcess(t *testing.T) {
	const hosts, callersPerHost = 3, 2
	for _, s := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		for victim := range hosts {
			t.Run(fmt.Sprintf("%s host %d", s, victim+1), func(t *testing.T) {
				t.Parallel()
				o := options()
				// One host keeps the primary's connections.
				o.MaxConnections = 8
				d := deployPlatform(t, o)
				var processes []*hostProcess
				var others []int
				for n := range hosts {
					processes = append(processes, d.addHostProcess())
					if n != victim {
						others = append(others, n)
					}
				}
				// Hosts send to a gate again some time after they have found it down.
				awaitGates := func() { time.Sleep(time.Second) }
				awaitGates()
				transactions := d.beginOn(others, callersPerHost)
				processes[victim].end(s)
				processes[victim].start()
				awaitGates()
				transactions = append(transactions, d.beginOn(others, callersPerHost)...)
				for _, tx := range transactions {
					writes, acknowledged := tx.finish()
					for _, id := range writes {
						require.Equal(t, acknowledged, d.group.CommitCount(id) == 1, "the write %s, acknowledged: %t", id, acknowledged)
					}
				}
				require.Empty(t, foreignStatements(d))
			})
		}
	}
}

// foreignStatements returns the statements that ran in a transaction whose first statement
// was another caller's.
func foreignStatements(d *deployment) []string {
	var out []string
	owners := map[uint64]string{}
	for _, run := range d.group.Executions() {
		if run.TxID == 0 {
			continue
		}
		name := run.ID[:strings.LastIndex(run.ID, "-")]
		owner, found := owners[run.TxID]
		if !found {
			owners[run.TxID] = name
		} else if owner != name {
			out = append(out, fmt.Sprintf("%s of %s in a transaction of %s", run.Text, name, owner))
		}
	}
	return out
}
