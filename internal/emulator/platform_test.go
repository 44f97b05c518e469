package emulator

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/settings"
	"topazpulley/internal/storage"
)

// TestMachineListConditionalRead checks that the client returns its cached machine list
// while the platform reports no change, and a changed list after the lag.
func TestMachineListConditionalRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	emulated := NewPlatform()
	go func() { _ = emulated.Serve(listener) }()
	emulated.SetMachine(storage.Machine{Name: "one", State: storage.MachineLive})
	client := storage.NewHTTPClient("http://" + listener.Addr().String())
	for range 3 {
		list, err := client.List(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
	}
	emulated.SetFaults(PlatformFaults{MachineListLag: settings.Duration(200 * time.Millisecond)})
	emulated.SetMachine(storage.Machine{Name: "two", State: storage.MachineLive})
	list, err := client.List(t.Context())
	require.NoError(t, err)
	require.Less(t, len(list), 2, "the change was visible before the lag")
	require.Eventually(t, func() bool {
		list, err := client.List(t.Context())
		return err == nil && len(list) == 2
	}, 30*time.Second, 10*time.Millisecond)
}
