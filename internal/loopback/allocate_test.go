package loopback

import "testing"

// Guards against a port that is handed out twice, and against one of the range from which
// outgoing connections get theirs: another process took it before its use.
func TestAllocatedPortsDifferAndAreNotEphemeral(t *testing.T) {
	const firstEphemeralPort = 32768
	seen := make(map[int]bool)
	for range 100 {
		port, err := AllocatePort()
		if err != nil {
			t.Fatal(err)
		}
		if seen[port] || port >= firstEphemeralPort {
			t.Fatalf("port %d was allocated before or is ephemeral", port)
		}
		seen[port] = true
	}
}
