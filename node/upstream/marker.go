package upstream

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// markerTypes are the parameter types whose order encodes the number of a marker: bool, bytea,
// int8, int2, int4, text, oid, json, float4, float8, bpchar, varchar, date, time, timestamp
// and numeric. They have the same OIDs in all versions of PostgreSQL.
var markerTypes = [16]uint32{16, 17, 20, 21, 23, 25, 26, 114, 700, 701, 1042, 1043, 1082, 1083, 1114, 1700}

const (
	// markerDigits is the number of hexadecimal digits of a marker.
	markerDigits = 8
	bitsPerDigit = 4
)

// marker returns the messages that follow a request, and the answer that echoes their number,
// without ReadyForQuery. They prepare an empty statement with parameter types and describe it.
// An empty statement needs neither planning nor a usable transaction. The unnamed statement is
// free after each request, because callers' statements are prepared again for each.
func marker(number uint32) (messages, echo []byte, err error) {
	var types [markerDigits]uint32
	for i := range types {
		types[i] = markerTypes[number>>(i*bitsPerDigit)%uint32(len(markerTypes))]
	}
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{ParameterOIDs: types[:]}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{},
	} {
		if messages, err = m.Encode(messages); err != nil {
			return nil, nil, err
		}
	}
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{ParameterOIDs: types[:]}, &pgproto3.NoData{},
	} {
		if echo, err = m.Encode(echo); err != nil {
			return nil, nil, err
		}
	}
	return messages, echo, nil
}
