package poison

import (
	"reflect"
	"testing"
)

func TestFingerprintsDistinguishRequests(t *testing.T) {
	one := Identity{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("body")}
	same := one
	same.Body = []byte("body")
	prints := one.Fingerprints()
	if !reflect.DeepEqual(prints, same.Fingerprints()) {
		t.Error("the same request has different fingerprints")
	}
	if prints.OfCaller.ofAllCallers() || !prints.Content.ofAllCallers() {
		t.Errorf("%v: wrong scope bits", prints)
	}
	other := one
	other.Caller = "10.0.0.2"
	if got := other.Fingerprints(); got.OfCaller == prints.OfCaller || got.Content != prints.Content {
		t.Errorf("fingerprints of one caller: %v, of another caller: %v", prints, got)
	}
	others := []Identity{
		{Caller: "10.0.0.1", Method: "PUT", Host: "h", Target: "/a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "i", Target: "/a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?d", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("bodz")},
		// The same bytes, divided differently between the parts.
		{Caller: "10.0.0.1", Method: "POST", Host: "h/", Target: "a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?cb", Body: []byte("ody")},
	}
	for _, other := range others {
		if got := other.Fingerprints(); got.OfCaller == prints.OfCaller || got.Content == prints.Content {
			t.Errorf("%+v has a fingerprint of %+v", other, one)
		}
	}
}
