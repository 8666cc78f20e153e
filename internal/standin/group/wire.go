package group

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// column is a result column.
type column struct {
	name string
	oid  uint32
}

// typeSizes are the sizes that RowDescription reports; other types have no fixed size.
var typeSizes = map[uint32]int16{
	sqltext.Bool: 1, sqltext.Int2: 2, sqltext.Int4: 4, sqltext.Int8: 8, sqltext.Float8: 8,
}

func fieldDescriptions(columns []column, formats []int16) []pgproto3.FieldDescription {
	out := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		size, ok := typeSizes[c.oid]
		if !ok {
			size = -1
		}
		out[i] = pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatOf(formats, i),
		}
	}
	return out
}

// formatOf returns the format code of column or parameter i: none given means text, one applies to all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgproto3.TextFormat
	}
}

// appendRow appends an encoded DataRow.
func appendRow(out []byte, columns []column, formats []int16, values []driver.Value) ([]byte, error) {
	out = append(out, 'D')
	start := len(out)
	out = append(out, 0, 0, 0, 0)
	out = binary.BigEndian.AppendUint16(out, uint16(len(values)))
	var err error
	for i, v := range values {
		if v == nil {
			out = binary.BigEndian.AppendUint32(out, math.MaxUint32)
			continue
		}
		at := len(out)
		out = append(out, 0, 0, 0, 0)
		oid := sqltext.Text
		if i < len(columns) {
			oid = columns[i].oid
		}
		if formatOf(formats, i) == pgproto3.BinaryFormat {
			out, err = appendBinary(out, oid, v)
		} else {
			out, err = appendText(out, oid, v)
		}
		if err != nil {
			return nil, err
		}
		binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at-4))
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start))
	return out, nil
}

func appendText(out []byte, oid uint32, v driver.Value) ([]byte, error) {
	switch oid {
	case sqltext.Bool:
		n, err := toInt(v)
		if err != nil {
			return nil, err
		}
		if n != 0 {
			return append(out, 't'), nil
		}
		return append(out, 'f'), nil
	case sqltext.Int2, sqltext.Int4, sqltext.Int8:
		n, err := toInt(v)
		return strconv.AppendInt(out, n, 10), err
	case sqltext.Bytea:
		out = append(out, `\x`...)
		return hex.AppendEncode(out, toBytes(v)), nil
	default:
		return append(out, toBytes(v)...), nil
	}
}

func appendBinary(out []byte, oid uint32, v driver.Value) ([]byte, error) {
	switch oid {
	case sqltext.Bool, sqltext.Int2, sqltext.Int4, sqltext.Int8:
		n, err := toInt(v)
		if err != nil {
			return nil, err
		}
		return appendBinaryInt(out, oid, n)
	case sqltext.Float8:
		f, err := toFloat(v)
		return binary.BigEndian.AppendUint64(out, math.Float64bits(f)), err
	case sqltext.Text, sqltext.Varchar, sqltext.Bytea:
		return append(out, toBytes(v)...), nil
	default:
		return nil, errorf(stateNotSupported, "binary format of type %d is not supported", oid)
	}
}

func appendBinaryInt(out []byte, oid uint32, n int64) ([]byte, error) {
	switch {
	case oid == sqltext.Bool && n != 0:
		return append(out, 1), nil
	case oid == sqltext.Bool:
		return append(out, 0), nil
	case oid == sqltext.Int2 && n == int64(int16(n)):
		return binary.BigEndian.AppendUint16(out, uint16(n)), nil
	case oid == sqltext.Int4 && n == int64(int32(n)):
		return binary.BigEndian.AppendUint32(out, uint32(n)), nil
	case oid == sqltext.Int8:
		return binary.BigEndian.AppendUint64(out, uint64(n)), nil
	default:
		return nil, errorf(stateOutOfRange, "value %d is out of range for its type", n)
	}
}

func toInt(v driver.Value) (int64, error) {
	switch x := v.(type) {
	case int64:
		return x, nil
	case bool:
		if x {
			return 1, nil
		}
		return 0, nil
	case float64:
		if x == math.Trunc(x) {
			return int64(x), nil
		}
	case string:
		if n, err := strconv.ParseInt(x, 10, 64); err == nil {
			return n, nil
		}
	}
	return 0, errorf(stateInvalidText, "stored value %v is not an integer", v)
}

func toFloat(v driver.Value) (float64, error) {
	switch x := v.(type) {
	case float64:
		return x, nil
	case int64:
		return float64(x), nil
	case string:
		if f, err := strconv.ParseFloat(x, 64); err == nil {
			return f, nil
		}
	}
	return 0, errorf(stateInvalidText, "stored value %v is not a number", v)
}

func toBytes(v driver.Value) []byte {
	switch x := v.(type) {
	case string:
		return []byte(x)
	case []byte:
		return x
	case int64:
		return strconv.AppendInt(nil, x, 10)
	case float64:
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case bool:
		if x {
			return []byte{'t'}
		}
		return []byte{'f'}
	case time.Time:
		// The driver turns the text of timestamp columns into a time.
		return []byte(x.Format("2006-01-02 15:04:05.999999-07:00"))
	default:
		return fmt.Append(nil, x)
	}
}

// decodeArgs turns bound parameters into values for SQLite.
func decodeArgs(types []uint32, formats []int16, values [][]byte) ([]driver.NamedValue, error) {
	if len(values) == 0 {
		return nil, nil
	}
	out := make([]driver.NamedValue, len(values))
	for i, b := range values {
		out[i].Ordinal = i + 1
		if b == nil {
			continue
		}
		oid := sqltext.Unknown
		if i < len(types) {
			oid = types[i]
		}
		decode := decodeText
		if formatOf(formats, i) == pgproto3.BinaryFormat {
			decode = decodeBinary
		}
		v, err := decode(oid, b)
		if err != nil {
			return nil, err
		}
		out[i].Value = v
	}
	return out, nil
}

func decodeText(oid uint32, b []byte) (driver.Value, error) {
	s := string(b)
	var v driver.Value
	var err error
	switch oid {
	case sqltext.Bool:
		v, err = parseBool(s)
	case sqltext.Int2, sqltext.Int4, sqltext.Int8:
		v, err = strconv.ParseInt(strings.TrimSpace(s), 10, 64)
	case sqltext.Float8:
		v, err = strconv.ParseFloat(strings.TrimSpace(s), 64)
	case sqltext.Bytea:
		v, err = hex.DecodeString(strings.TrimPrefix(s, `\x`))
	default:
		return s, nil
	}
	if err != nil {
		return nil, errorf(stateInvalidText, "invalid input for type %d: %q", oid, s)
	}
	return v, nil
}

// parseBool returns the integer with which SQLite stores a boolean.
func parseBool(s string) (int64, error) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "y", "yes", "on", "1":
		return 1, nil
	case "f", "false", "n", "no", "off", "0":
		return 0, nil
	default:
		return 0, strconv.ErrSyntax
	}
}

func decodeBinary(oid uint32, b []byte) (driver.Value, error) {
	size, fixed := typeSizes[oid]
	if fixed && len(b) != int(size) {
		return nil, errorf(stateInvalidBinary, "binary value of type %d has %d bytes", oid, len(b))
	}
	switch oid {
	case sqltext.Bool:
		return int64(b[0]), nil
	case sqltext.Int2:
		return int64(int16(binary.BigEndian.Uint16(b))), nil
	case sqltext.Int4:
		return int64(int32(binary.BigEndian.Uint32(b))), nil
	case sqltext.Int8:
		return int64(binary.BigEndian.Uint64(b)), nil
	case sqltext.Float8:
		return math.Float64frombits(binary.BigEndian.Uint64(b)), nil
	case sqltext.Text, sqltext.Varchar:
		return string(b), nil
	case sqltext.Bytea:
		return append([]byte{}, b...), nil
	default:
		return nil, errorf(stateNotSupported, "binary parameter of type %d is not supported", oid)
	}
}
