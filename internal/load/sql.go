package load

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/celerystep/celerystep/internal/check"
)

// scanRows is the number of rows that a scan covers.
const scanRows = 20

// insertBatch is the number of rows that one statement of the setup creates.
const insertBatch = 100

// Texts of the statements. %s is the table. Reads carry the marker in a comparison that is always true, so that the
// groups' logs show which caller's statement ran.
const (
	insertSQL = "INSERT INTO %s (id, version, writer) VALUES ($1, 1, $1) RETURNING id, version, writer"
	updateSQL = "UPDATE %s SET version = version + 1, writer = $2 WHERE id = $1 RETURNING id, version, writer"
	readSQL   = "SELECT id, version, writer FROM %s WHERE id = $1 AND $2 <> ''"
	scanSQL   = "SELECT id, version, writer FROM %s WHERE id >= $1 AND id < $2 AND $3 <> '' ORDER BY id"

	beginSQL         = "BEGIN"
	beginReadOnlySQL = "BEGIN READ ONLY"
	commitSQL        = "COMMIT"
	rollbackSQL      = "ROLLBACK"

	createSQL = "CREATE TABLE IF NOT EXISTS %s (id TEXT PRIMARY KEY, version BIGINT NOT NULL, writer TEXT NOT NULL)"
	allSQL    = "SELECT id, version, writer FROM %s ORDER BY id"
)

// columns is the number of columns that every statement with rows returns: id, version and writer.
const columns = 3

// statement is a text with its values.
type statement struct {
	text   string
	params []string
}

// statementFor returns the SQL of a step. id is the row's, or the first row's of a scan; to ends a scan.
func statementFor(kind check.Kind, table, id, to string, marker check.StatementID) statement {
	m := marker.String()
	switch kind {
	case check.KindInsert:
		return statement{fmt.Sprintf(insertSQL, table), []string{m}}
	case check.KindUpdate:
		return statement{fmt.Sprintf(updateSQL, table), []string{id, m}}
	case check.KindScan:
		return statement{fmt.Sprintf(scanSQL, table), []string{id, to, m}}
	default:
		return statement{fmt.Sprintf(readSQL, table), []string{id, m}}
	}
}

// literal returns the text with the values in place, for the simple protocol.
func (s statement) literal() string {
	text := s.text
	for i := len(s.params); i > 0; i-- {
		quoted := "'" + strings.ReplaceAll(s.params[i-1], "'", "''") + "'"
		text = strings.ReplaceAll(text, "$"+strconv.Itoa(i), quoted)
	}
	return text
}

// ParseRow reads a row of id, version and writer in text form.
func ParseRow(table string, fields []string) (check.Value, bool) {
	if len(fields) != columns {
		return check.Value{}, false
	}
	version, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return check.Value{}, false
	}
	writer, ok := check.ParseMarker(fields[2])
	return check.Value{Row: check.RowKey{Table: table, ID: fields[0]}, Version: version, Writer: writer}, ok
}

// Tables returns the tables of a database under the plan, with those that only receive inserts.
func (p *Plan) Tables(database string) []string {
	var tables []string
	for _, s := range p.Streams {
		if s.Database != database {
			continue
		}
		for _, w := range mixes[s.Mix] {
			for _, st := range w.steps {
				tables = appendNew(tables, st.table)
			}
		}
	}
	return tables
}

func appendNew(list []string, s string) []string {
	for _, x := range list {
		if x == s {
			return list
		}
	}
	return append(list, s)
}

// Setup returns the statements that create the tables of a database and the rows that the plan reads and updates.
// Rows start at version 0 with the zero marker as writer.
func (p *Plan) Setup(database string) []string {
	var list []string
	for _, t := range p.Tables(database) {
		list = append(list, fmt.Sprintf(createSQL, t))
	}
	rows := make(map[string]int) // rows already created, by table and customer
	for i := range p.Streams {
		s := &p.Streams[i]
		if s.Database != database {
			continue
		}
		for _, t := range mixes[s.Mix].tables() {
			k := t + "/" + s.Customer
			list = append(list, insertRows(t, s.Customer, rows[k], s.Rows)...)
			rows[k] = max(rows[k], s.Rows)
		}
	}
	return list
}

// insertRows creates the customer's rows from..to-1.
func insertRows(table, customer string, from, to int) []string {
	var list []string
	for from < to {
		end := min(from+insertBatch, to)
		values := make([]string, 0, insertBatch)
		for n := from; n < end; n++ {
			values = append(values, fmt.Sprintf("('%s', 0, '%s')", rowID(customer, n), check.StatementID(0)))
		}
		list = append(list, fmt.Sprintf("INSERT INTO %s (id, version, writer) VALUES %s", table, strings.Join(values, ", ")))
		from = end
	}
	return list
}

// FinalQuery returns the statement that reads all rows of a table.
func FinalQuery(table string) string { return fmt.Sprintf(allSQL, table) }
