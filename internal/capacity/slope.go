package capacity

import (
	"encoding/gob"
	"net/rpc"
)

// Cluster size for which docs/CAPACITY.md plans.
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

// Slope is a measured resource use, such as the bytes of a message. docs/CAPACITY.md
// lists it under its name.
type Slope struct {
	Name  string
	Value float64
	Unit  string
}

// byteCounter is a writer that discards its input and counts the bytes.
type byteCounter struct{ bytes int }

// Write implements io.Writer.
func (d *byteCounter) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

// gobBytes returns the bytes of the gob-encoded values on a connection on which their
// type definitions have already been sent.
func gobBytes(values ...any) (int, error) {
	var out byteCounter
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

// sequence is a typical sequence number of a call on a long-lived connection.
const sequence = 100_000

// requestBytes returns the bytes of an RPC request, without TCP and IP headers.
func requestBytes(method string, args any) (int, error) {
	return gobBytes(&rpc.Request{ServiceMethod: method, Seq: sequence}, args)
}

// answerBytes returns the bytes of an RPC response, without TCP and IP headers.
func answerBytes(method string, reply any) (int, error) {
	return gobBytes(&rpc.Response{ServiceMethod: method, Seq: sequence}, reply)
}
