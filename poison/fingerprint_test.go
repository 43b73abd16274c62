package poison

import "testing"

func TestFingerprintsTellRequestsApart(t *testing.T) {
	one := Identity{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("body")}
	same := one
	same.Body = []byte("body")
	if one.Fingerprint() != same.Fingerprint() {
		t.Error("the same request has two fingerprints")
	}
	others := []Identity{
		{Caller: "10.0.0.2", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "PUT", Host: "h", Target: "/a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "i", Target: "/a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?d", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("bodz")},
		// The same letters, divided otherwise.
		{Caller: "10.0.0.1", Method: "POST", Host: "h/", Target: "a/b?c", Body: []byte("body")},
		{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/a/b?cb", Body: []byte("ody")},
	}
	for _, other := range others {
		if other.Fingerprint() == one.Fingerprint() {
			t.Errorf("%+v is taken for %+v", other, one)
		}
	}
}
