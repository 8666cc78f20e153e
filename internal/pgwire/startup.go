// Package pgwire speaks the server side of the PostgreSQL protocol, version 3, with callers.
package pgwire

import (
	"encoding/binary"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// maxStartupBytes bounds the first packet, as PostgreSQL does.
	maxStartupBytes = 10_000
	// startupHeaderBytes is the size of the length and the code that start it.
	startupHeaderBytes = 8

	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
	// majorVersion is the only major version of the protocol that is spoken, and minorVersion the newest minor one.
	majorVersion = 3
	minorVersion = 0
	// optionPrefix starts the names of protocol extensions among the parameters.
	optionPrefix = "_pq_."
)

// PacketKind tells the first packets of a connection apart.
type PacketKind uint8

// Kinds of first packets.
const (
	PacketStartup PacketKind = iota
	PacketSSL
	PacketGSS
	PacketCancel
)

// Packet is the first packet of a connection, or the one after a request for encryption.
type Packet struct {
	Kind PacketKind
	// Parameters holds the start-up parameters. They never contain a key.
	Parameters map[string]string
	// Minor is the minor protocol version that was asked for; Extensions are the options that go with it.
	Minor      uint32
	Extensions []string
	// ProcessID and Secret identify the session whose request is to be cancelled.
	ProcessID, Secret uint32
}

// ReadPacket reads the first packet. It takes exactly the packet's bytes, so that nothing which a caller sent in clear
// before a TLS handshake is taken for part of the encrypted stream.
func ReadPacket(r io.Reader) (*Packet, error) {
	var header [startupHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(header[:])))
	if length < startupHeaderBytes || length > maxStartupBytes {
		return nil, errors.Wrapf(ErrMalformed, "start-up packet of %d bytes", length)
	}
	body := make([]byte, length-startupHeaderBytes)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return decodePacket(binary.BigEndian.Uint32(header[4:]), body)
}

func decodePacket(code uint32, body []byte) (*Packet, error) {
	switch code {
	case codeSSL:
		return &Packet{Kind: PacketSSL}, nil
	case codeGSS:
		return &Packet{Kind: PacketGSS}, nil
	case codeCancel:
		return decodeCancel(body)
	}
	if code>>16 != majorVersion {
		return nil, errors.Wrapf(ErrMalformed, "protocol version %d.%d", code>>16, code&0xffff)
	}
	p := &Packet{Kind: PacketStartup, Minor: code & 0xffff}
	return p, p.decodeParameters(body)
}

func decodeCancel(body []byte) (*Packet, error) {
	const size = 8
	if len(body) != size {
		return nil, errors.Wrapf(ErrMalformed, "cancel request of %d bytes", len(body))
	}
	return &Packet{
		Kind:      PacketCancel,
		ProcessID: binary.BigEndian.Uint32(body),
		Secret:    binary.BigEndian.Uint32(body[4:]),
	}, nil
}

func (p *Packet) decodeParameters(body []byte) error {
	parts := strings.Split(string(body), "\x00")
	// The body ends with the terminator of the last value and an empty name, which leave two empty parts.
	last := len(parts) - 1
	if last < 1 || last%2 != 1 || parts[last] != "" || parts[last-1] != "" {
		return errors.Wrap(ErrMalformed, "start-up parameters")
	}
	p.Parameters = make(map[string]string, last/2)
	for i := 0; i+1 < last; i += 2 {
		name := parts[i]
		switch {
		case name == "":
			return errors.Wrap(ErrMalformed, "start-up parameter without a name")
		case strings.HasPrefix(name, optionPrefix):
			p.Extensions = append(p.Extensions, name)
		default:
			p.Parameters[name] = parts[i+1]
		}
	}
	return nil
}

// Negotiation returns the message that offers the caller the protocol version and extensions that are spoken, or nil
// when the caller asked for nothing else.
func (p *Packet) Negotiation() *pgproto3.NegotiateProtocolVersion {
	if p.Minor <= minorVersion && len(p.Extensions) == 0 {
		return nil
	}
	return &pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: majorVersion<<16 | minorVersion,
		UnrecognizedOptions: p.Extensions,
	}
}
