package capacity

import (
	"encoding/gob"
	"net/rpc"
)

// Sizes that docs/CAPACITY.md plans for.
const (
	Workers         = 560
	Tasks           = 11_300
	Teams           = 23
	EntryHosts      = 8
	StartsPerSecond = 200
	workersPerEntry = Workers / EntryHosts
	tasksPerWorker  = Tasks / Workers
)

// Units of slopes.
const (
	UnitBytes          = "B"
	UnitBytesPerSecond = "B/s"
	UnitMicroseconds   = "us"
	UnitPerSecond      = "1/s"
)

// Slope is a measured quantity.
type Slope struct {
	Name  string
	Value float64
	Unit  string
}

// discard takes everything that is written to it and counts the bytes.
type discard struct{ bytes int }

// Write implements io.Writer.
func (d *discard) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

// gobBytes returns the bytes of the values on a connection that has carried
// their types before.
func gobBytes(values ...any) (int, error) {
	var out discard
	encoder := gob.NewEncoder(&out)
	for range 2 {
		out.bytes = 0
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				return 0, err
			}
		}
	}
	return out.bytes, nil
}

// sequence stands for the number of a call on a connection in use.
const sequence = 100_000

// requestBytes returns the bytes of a call, without TCP and IP.
func requestBytes(method string, args any) (int, error) {
	return gobBytes(&rpc.Request{ServiceMethod: method, Seq: sequence}, args)
}

// answerBytes returns the bytes of the answer to a call, without TCP and IP.
func answerBytes(method string, reply any) (int, error) {
	return gobBytes(&rpc.Response{ServiceMethod: method, Seq: sequence}, reply)
}
