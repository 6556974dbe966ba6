package sender

import "bytes"

// EventField returns the value of the first line with this field name in a
// server-sent event, without the space after the colon.
func EventField(event []byte, name string) (value []byte, ok bool) {
	for line := range bytes.Lines(event) {
		if value, ok := fieldOfLine(line, name); ok {
			return value, true
		}
	}
	return nil, false
}

// EventData returns the data of a server-sent event: the values of its data
// lines, joined by line feeds.
func EventData(event []byte) []byte {
	var data []byte
	first := true
	for line := range bytes.Lines(event) {
		value, ok := fieldOfLine(line, "data")
		if !ok {
			continue
		}
		if !first {
			data = append(data, '\n')
		}
		first = false
		data = append(data, value...)
	}
	return data
}

func fieldOfLine(line []byte, name string) (value []byte, ok bool) {
	line = bytes.TrimRight(line, "\r\n")
	rest, ok := bytes.CutPrefix(line, []byte(name))
	if !ok {
		return nil, false
	}
	value, ok = bytes.CutPrefix(rest, []byte(":"))
	if !ok {
		return nil, false
	}
	value, _ = bytes.CutPrefix(value, []byte(" "))
	return value, true
}
