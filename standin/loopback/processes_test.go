package loopback

import (
	"bufio"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// printAddressesEnv has the test binary print this many addresses and wait for the end of
// its standard input.
const printAddressesEnv = "LOOPBACK_PRINT_ADDRESSES"

func TestMain(m *testing.M) {
	count, err := strconv.Atoi(os.Getenv(printAddressesEnv))
	if err != nil {
		os.Exit(m.Run())
	}
	for range count {
		address, err := FreeAddress()
		if err != nil {
			os.Exit(1)
		}
		_, _ = os.Stdout.WriteString(address + "\n")
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// TestProcessesDoNotShareAddresses guards against a process that takes the address of
// another one while the other's listener is down, as during the restart of a host.
func TestProcessesDoNotShareAddresses(t *testing.T) {
	const processes, addresses = 3, maxBlocks * blockSize
	owner := map[string]int{}
	for n := range processes {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), printAddressesEnv+"="+strconv.Itoa(addresses))
		stdin, err := cmd.StdinPipe()
		require.NoError(t, err)
		stdout, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() {
			_ = stdin.Close()
			_ = cmd.Wait()
		})
		lines := bufio.NewScanner(stdout)
		for range addresses {
			require.True(t, lines.Scan(), "process %d ended", n)
			other, taken := owner[lines.Text()]
			require.False(t, taken, "%s belongs to processes %d and %d", lines.Text(), other, n)
			owner[lines.Text()] = n
		}
	}
}
