package sqltext

import "strings"

// Object ids of the PostgreSQL types that the stand-in knows. Unknown leaves the type to the client.
const (
	Unknown uint32 = 0
	Bool    uint32 = 16
	Bytea   uint32 = 17
	Int8    uint32 = 20
	Int2    uint32 = 21
	Int4    uint32 = 23
	Text    uint32 = 25
	Float8  uint32 = 701
	Varchar uint32 = 1043
)

// typeNames maps names of types, without length, to object ids. Types without a counterpart travel as text.
var typeNames = map[string]uint32{
	"bool": Bool, "boolean": Bool,
	"bytea": Bytea, "blob": Bytea,
	"int8": Int8, "bigint": Int8, "bigserial": Int8,
	"int2": Int2, "smallint": Int2,
	"int4": Int4, "int": Int4, "integer": Int4, "serial": Int4,
	"float8": Float8, "double precision": Float8, "double": Float8, "float": Float8, "real": Float8, "float4": Float8,
	"numeric": Float8, "decimal": Float8,
	"varchar": Varchar, "character varying": Varchar,
	"text": Text, "char": Text, "character": Text, "uuid": Text, "json": Text, "jsonb": Text, "date": Text,
	"timestamp": Text, "timestamptz": Text, "time": Text, "name": Text,
}

// TypeOf returns the object id for a declared type, or Unknown.
func TypeOf(declared string) uint32 {
	name := strings.ToLower(declared)
	if i := strings.IndexByte(name, '('); i >= 0 {
		name = name[:i]
	}
	return typeNames[strings.TrimSpace(name)]
}

// storageClass returns the SQLite type that a cast to the PostgreSQL type needs, or an empty string.
func storageClass(oid uint32) string {
	switch oid {
	case Bool, Int2, Int4, Int8:
		return "INTEGER"
	case Float8:
		return "REAL"
	case Text, Varchar:
		return "TEXT"
	case Bytea:
		return "BLOB"
	default:
		return ""
	}
}

// Column is a column of a table with its declared type.
type Column struct{ Name, Type string }

// Schema maps table names in lower case to their columns.
type Schema map[string][]Column

// lookup returns the type of a column in one of the tables that the statement mentions.
func (s *Statement) lookup(schema Schema, column string) uint32 {
	for _, t := range s.tokens {
		for _, c := range schema[t.name()] {
			if strings.EqualFold(c.Name, column) {
				return TypeOf(c.Type)
			}
		}
	}
	return Unknown
}
