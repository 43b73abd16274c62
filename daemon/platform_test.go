package daemon

import "testing"

// A bound that is shared by more instances than it has connections stays a bound.
func TestConnectionsAreShared(t *testing.T) {
	for _, test := range []struct{ connections, instances, want int }{
		{0, 8, 0}, {370, 8, 37}, {110, 8, 11}, {1900, 986, 1}, {1900, 2800, 1}, {1, 1, 1},
	} {
		if got := shareOfConnections(test.connections, test.instances); got != test.want {
			t.Errorf("%d connections, %d instances: %d, not %d", test.connections, test.instances, got, test.want)
		}
	}
}
