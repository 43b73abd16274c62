package standin

import "github.com/mastwheel/mastwheel/table"

// Addresses of the servers in SampleTable.
const (
	SamplePrefill   = "10.0.0.1:1"
	SampleDecodeOne = "10.0.0.2:1"
	SampleDecodeTwo = "10.0.0.3:1"
	SamplePlainOne  = "10.0.0.4:1"
	SamplePlainTwo  = "10.0.0.5:1"
)

// sampleTable has a model service with one prefill and two decode engines, and
// a plain service with two servers.
const sampleTable = `
[pool.read]
role = "prefill"
[pool.write]
role = "decode"
[pool.desk]
role = "plain"
[service.dossier]
type = "model"
model = "dossier"
prefill_pool = "read"
decode_pool = "write"
[service.plate-desk]
type = "plain"
pool = "desk"
[backend.read-1]
pool = "read"
address = "10.0.0.1:1"
zone = "sabana"
[backend.write-1]
pool = "write"
address = "10.0.0.2:1"
zone = "sabana"
pieces = 40
[backend.write-2]
pool = "write"
address = "10.0.0.3:1"
zone = "heredia"
pieces = 40
[backend.desk-1]
pool = "desk"
address = "10.0.0.4:1"
zone = "sabana"
[backend.desk-2]
pool = "desk"
address = "10.0.0.5:1"
zone = "heredia"
`

// SampleTable returns a small table for tests.
func SampleTable() *table.Table {
	parsed, err := table.ParseTOML([]byte(sampleTable))
	if err != nil {
		panic("standin: parse sample table: " + err.Error())
	}
	return parsed
}

// SampleEdit returns the edit that turns an empty table into SampleTable.
func SampleEdit() table.Edit {
	return table.Edit{
		ID: "first", Author: "ana", Reason: "first table", Changes: (&table.Table{}).Diff(SampleTable()),
	}
}

// SampleFarm returns engines at the addresses of SampleTable.
func SampleFarm() *Farm {
	farm := NewFarm()
	for _, address := range []string{SamplePrefill, SampleDecodeOne, SampleDecodeTwo} {
		farm.Add(address, DefaultEngine(address))
	}
	return farm
}
