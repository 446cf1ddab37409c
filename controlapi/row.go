package controlapi

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
)

func init() {
	gob.Register(int64(0))
	gob.Register(float64(0))
	gob.Register("")
	gob.Register(false)
}

// MarshalJSON encodes the row as an object whose members are in column order.
func (r Row) MarshalJSON() ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, field := range r {
		if i > 0 {
			out.WriteByte(',')
		}
		name, err := json.Marshal(field.Name)
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(field.Value)
		if err != nil {
			return nil, fmt.Errorf("column %q: %w", field.Name, err)
		}
		out.Write(name)
		out.WriteByte(':')
		out.Write(value)
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// UnmarshalJSON decodes an object and keeps the order of its members. Integers are
// decoded as int64.
func (r *Row) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return err
		}
		*r = append(*r, Field{Name: fmt.Sprint(name), Value: convertNumber(value)})
	}
	return nil
}

func convertNumber(value any) any {
	number, ok := value.(json.Number)
	if !ok {
		return value
	}
	if i, err := number.Int64(); err == nil {
		return i
	}
	f, err := number.Float64()
	if err != nil {
		return number.String()
	}
	return f
}

// Get returns the value of the named column, or nil if there is none.
func (r Row) Get(name string) any {
	for _, field := range r {
		if field.Name == name {
			return field.Value
		}
	}
	return nil
}
