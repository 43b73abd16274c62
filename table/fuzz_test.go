package table

import "testing"

// FuzzParseTOML checks that a table is either rejected with an error or can be compiled.
func FuzzParseTOML(f *testing.F) {
	f.Add([]byte("[service.a]\ntype = \"plain\"\npool = \"p\"\n[pool.p]\nrole = \"plain\"\n"))
	f.Add([]byte("[service.\"\"]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := ParseTOML(data)
		if err == nil && parsed.Compile() == nil {
			t.Fatal("accepted a table that does not compile")
		}
	})
}
