package daemon

import "testing"

// With more instances than connections, each instance may still open one: a limit that
// rounded down to 0 would mean no limit.
func TestConnectionsAreShared(t *testing.T) {
	for _, test := range []struct{ connections, instances, want int }{
		{0, 8, 0}, {370, 8, 37}, {110, 8, 11}, {1900, 986, 1}, {1900, 2800, 1}, {1, 1, 1},
	} {
		if got := connectionsPerInstance(test.connections, test.instances); got != test.want {
			t.Errorf("%d connections, %d instances: %d, not %d", test.connections, test.instances, got, test.want)
		}
	}
}
