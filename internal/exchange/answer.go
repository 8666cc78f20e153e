package exchange

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/position"
)

// Backend message types that Answer interprets.
const (
	typeReady            = 'Z'
	typeError            = 'E'
	typeNotice           = 'N'
	typeNotification     = 'A'
	typeParameterStatus  = 'S'
	typeParameterDesc    = 't'
	typeDataRow          = 'D'
	typeCommandComplete  = 'C'
	typeCopyInResponse   = 'G'
	typeCopyOutResponse  = 'H'
	typeCopyBothResponse = 'W'
)

// positionParameter is the ParameterStatus name that carries the position of a commit.
const positionParameter = "group_position"

// MaxHeldBytes bounds the part of an answer that is withheld until the preceding commit is acknowledged.
const MaxHeldBytes = 8 << 20

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// Errors of Answer.Process. After any of them the connection must be closed.
var (
	// ErrHeldTooLarge reports that the part of an answer after a possible commit exceeds MaxHeldBytes.
	ErrHeldTooLarge = errors.New("answer after a possible commit exceeds the buffer")
	// ErrCopy reports a COPY, which is not supported on a pooled connection.
	ErrCopy = errors.New("COPY reached the upstream")
)

// FatalError is an error with which the upstream closed the connection. It concerns the pooled connection, not the
// caller's statement.
type FatalError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *FatalError) Error() string {
	return "upstream ended the connection: " + e.Code + " " + e.Message
}

// SettingError reports that the upstream rejected a setting.
type SettingError struct {
	Setting Setting
	Code    string
	Message string
}

// Error implements error.
func (e *SettingError) Error() string {
	return "setting " + e.Setting.Name + " refused: " + e.Code + " " + e.Message
}

// Answer processes the backend messages of one exchange and buffers the bytes for the caller.
type Answer struct {
	state *State
	ops   []op
	// inBlock is true inside an explicit transaction block, where only COMMIT can commit.
	inBlock bool
	// mayCommit is false for reads, whose answers are withheld only if a commit position arrives unexpectedly.
	mayCommit bool

	pending []byte
	// held is the offset in pending of the first byte that must wait for the commit's acknowledgement, or -1.
	held int

	settingsLeft int
	settingErr   *SettingError
	position     position.Position
	hasPosition  bool
	txStatus     byte
	done         bool
}

// NewAnswer returns the answer to x on a connection in state s. It reuses buffer for the caller's bytes.
func NewAnswer(s *State, x *Exchange, txStatus byte, mayCommit bool, buffer []byte) *Answer {
	a := &Answer{
		state:        s,
		ops:          x.ops,
		inBlock:      txStatus != 'I',
		mayCommit:    mayCommit,
		pending:      buffer[:0],
		held:         -1,
		settingsLeft: len(x.Changes),
		txStatus:     txStatus,
	}
	a.emitLocal()
	return a
}

// Done reports whether the answer is complete.
func (a *Answer) Done() bool { return a.done }

// SettingsDone reports whether the upstream has answered all changes of settings.
func (a *Answer) SettingsDone() bool { return a.settingsLeft == 0 }

// SettingErr returns the latest rejection of a setting, or nil.
func (a *Answer) SettingErr() *SettingError { return a.settingErr }

// TxStatus returns the transaction status of the last ReadyForQuery.
func (a *Answer) TxStatus() byte { return a.txStatus }

// Position returns the position of the exchange's last commit, and false if there was none.
func (a *Answer) Position() (position.Position, bool) { return a.position, a.hasPosition }

// Ready returns the bytes that may be sent to the caller now. They are valid until the next call of Process or DropReady.
func (a *Answer) Ready() []byte {
	if a.held >= 0 {
		return a.pending[:a.held]
	}
	return a.pending
}

// DropReady discards the bytes that Ready returned.
func (a *Answer) DropReady() {
	if a.held < 0 {
		a.pending = a.pending[:0]
		return
	}
	n := copy(a.pending, a.pending[a.held:])
	a.pending = a.pending[:n]
	a.held = 0
}

// Acknowledged releases the withheld bytes after the commit was acknowledged.
func (a *Answer) Acknowledged() { a.held = -1 }

// Buffer returns the buffer, for reuse once the answer is no longer needed.
func (a *Answer) Buffer() []byte { return a.pending }

// Process processes the next encoded backend message. After an error the connection must be closed.
func (a *Answer) Process(m []byte) error {
	if len(m) < headerBytes {
		return errors.New("backend message is cut off")
	}
	if err := a.consume(m); err != nil {
		return err
	}
	if a.held >= 0 && len(a.pending)-a.held > MaxHeldBytes {
		return ErrHeldTooLarge
	}
	return nil
}

func (a *Answer) consume(m []byte) error {
	switch m[0] {
	case typeParameterStatus:
		return a.parameterStatus(m)
	case typeNotification:
		return nil // LISTEN is refused, so a notification belongs to no session
	case typeCopyInResponse, typeCopyOutResponse, typeCopyBothResponse:
		return ErrCopy
	case typeNotice:
		a.forward(m)
		return nil
	}
	if len(a.ops) == 0 {
		return errors.Errorf("backend message %q without a request", m[0])
	}
	switch m[0] {
	case typeReady:
		return a.ready(m)
	case typeError:
		return a.errorResponse(m)
	default:
		return a.part(m)
	}
}

// forward passes the message to the caller unless it answers a message that the caller did not send.
func (a *Answer) forward(m []byte) {
	if len(a.ops) > 0 && a.ops[0].discard {
		return
	}
	a.pending = append(a.pending, m...)
}

func (a *Answer) part(m []byte) error {
	if m[0] == typeCommandComplete && !a.ops[0].discard {
		a.commandComplete(m)
	}
	a.forward(m)
	if a.ops[0].expect == expectOne && m[0] != typeDataRow && m[0] != typeParameterDesc {
		a.complete()
	}
	return nil
}

// complete completes the first outstanding message and emits the local answers that follow it.
func (a *Answer) complete() {
	o := a.ops[0]
	if o.prepared != "" {
		a.state.statements.add(o.prepared)
	}
	if o.closed != "" {
		a.state.statements.remove(o.closed)
	}
	a.ops = a.ops[1:]
	a.emitLocal()
}

// emitLocal emits the local answers at the head of the outstanding messages.
func (a *Answer) emitLocal() {
	for len(a.ops) > 0 && a.ops[0].local != nil {
		a.pending = append(a.pending, a.ops[0].local...)
		a.ops = a.ops[1:]
	}
}

func (a *Answer) ready(m []byte) error {
	if len(m) != headerBytes+1 {
		return errors.New("ReadyForQuery has the wrong length")
	}
	o := a.ops[0]
	if o.expect != expectReady {
		return errors.New("ReadyForQuery came before the answers to all messages")
	}
	a.txStatus = m[headerBytes]
	a.ops = a.ops[1:]
	if o.setting != nil {
		a.settingDone(*o.setting)
		return nil
	}
	a.done = true
	return nil
}

func (a *Answer) settingDone(s Setting) {
	a.settingsLeft--
	if a.settingErr == nil {
		a.state.recordSetting(s)
	}
	if a.txStatus != 'I' {
		// A rollback would silently revert the setting.
		a.state.MarkDirty()
	}
	if a.settingsLeft == 0 {
		a.emitLocal()
	}
}

func (a *Answer) errorResponse(m []byte) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(err, "decode error response")
	}
	if isFatal(&e) {
		return &FatalError{Code: e.Code, Message: e.Message}
	}
	o := a.ops[0]
	if o.setting != nil {
		a.settingErr = &SettingError{Setting: *o.setting, Code: e.Code, Message: e.Message}
		a.state.MarkDirty()
		return nil
	}
	if a.extended() && staleStatement(e.Code) {
		a.state.MarkDirty()
	}
	// The caller receives the error even if it answers a Parse that was added for the caller's Bind.
	a.pending = append(a.pending, m...)
	a.skipToReady()
	return nil
}

func isFatal(e *pgproto3.ErrorResponse) bool {
	severity := e.SeverityUnlocalized
	if severity == "" {
		severity = e.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}

// extended reports whether the outstanding message belongs to the extended protocol.
func (a *Answer) extended() bool { return a.ops[0].expect == expectOne }

// staleStatement reports whether an error means that the tracked prepared statements do not match those of the
// connection: one is missing, a duplicate, or has a changed result type.
func staleStatement(code string) bool { return code == "26000" || code == "42P05" || code == "0A000" }

// skipToReady drops the outstanding messages that the upstream skips after an error.
func (a *Answer) skipToReady() {
	for a.ops[0].expect != expectReady {
		a.ops = a.ops[1:]
	}
}

func (a *Answer) parameterStatus(m []byte) error {
	name, rest, ok := bytes.Cut(m[headerBytes:], []byte{0})
	if !ok {
		return errors.New("ParameterStatus is cut off")
	}
	if string(name) != positionParameter {
		a.forward(m)
		return nil
	}
	p, err := position.Parse(string(bytes.TrimSuffix(rest, []byte{0})))
	if err != nil {
		return errors.Wrap(err, positionParameter)
	}
	a.position = p
	a.hasPosition = true
	if a.held < 0 {
		// The commit was unexpected, for example by a function in a statement classified as a read.
		a.held = 0
	}
	return nil
}

// commandComplete tracks the transaction block and starts withholding at the first answer that may acknowledge a commit.
func (a *Answer) commandComplete(m []byte) {
	tag := bytes.TrimSuffix(m[headerBytes:], []byte{0})
	verb, _, _ := bytes.Cut(tag, []byte{' '})
	committed := !a.inBlock
	switch string(verb) {
	case "BEGIN", "START":
		a.inBlock = true
	case "COMMIT":
		a.inBlock = false
		committed = true
	case "ROLLBACK", "PREPARE":
		// ROLLBACK TO SAVEPOINT has the same tag; withholding more than necessary is harmless.
		a.inBlock = false
	}
	if mayChangeSession(verb, tag) {
		a.state.MarkDirty()
	}
	if committed && a.mayCommit && a.held < 0 {
		a.held = len(a.pending)
	}
}

// mayChangeSession reports whether a statement with this tag may leave session state that the pool does not track. The
// entry refuses most of them; this catches those that it cannot detect.
func mayChangeSession(verb, tag []byte) bool {
	switch string(verb) {
	case "SET", "RESET", "DISCARD", "LISTEN", "UNLISTEN", "LOAD", "DEALLOCATE", "DECLARE":
		return true
	case "PREPARE":
		return len(tag) == len(verb) // PREPARE TRANSACTION ends a transaction
	default:
		return false
	}
}
