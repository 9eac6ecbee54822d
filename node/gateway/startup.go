package gateway

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// settingPrefix is the prefix of the names of the proxy's settings.
const settingPrefix = "dotterelswitch."

// passwordMessageType is the type byte of PasswordMessage, which carries the key.
const passwordMessageType = 'p'

const (
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	protocolVersion3  = pgproto3.ProtocolVersion30
)

// startup handles the untyped messages that open a connection. It reports whether
// the connection stays open.
func (s *session) startup(body []byte) bool {
	if len(body) < startupHeaderSize {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "start-up message of %d bytes", len(body))))
		return false
	}
	switch code := binary.BigEndian.Uint32(body); code {
	case sslRequestCode, gssRequestCode:
		s.write([]byte("N"))
		return true
	case cancelRequestCode:
		s.handleCancelRequest(body)
		return false
	case protocolVersion3:
		return s.login(body)
	default:
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "protocol version %d.%d", code>>16, code&0xffff)))
		return false
	}
}

func (s *session) handleCancelRequest(body []byte) {
	const bodySize = 12
	if len(body) == bodySize {
		s.gateway.cancel(binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]))
	}
}

// login applies the startup parameters and requests the key, or opens the session
// if no key is required.
func (s *session) login(body []byte) bool {
	var msg pgproto3.StartupMessage
	if err := msg.Decode(body); err != nil {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "%v", err)))
		return false
	}
	if refusal := s.applyStartupParameters(msg.Parameters); refusal != nil {
		eventlog.CallerRejected.Warn(s.gateway.cfg.Log).Str("remote", s.remote).Err(refusal).Send()
		s.write(fatalMessage(refusal))
		return false
	}
	if s.gateway.config().RequiresKeys() {
		s.awaitingPassword = true
		s.write(encode(nil, &pgproto3.AuthenticationCleartextPassword{}))
		return true
	}
	return s.openSession()
}

// handlePassword checks the key that was requested from the caller.
func (s *session) handlePassword(fr frame) bool {
	var msg pgproto3.PasswordMessage
	if fr.msgType != passwordMessageType || msg.Decode(fr.body) != nil {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "a key was asked for")))
		return false
	}
	s.awaitingPassword = false
	s.credential = catalog.NewCredential(msg.Password)
	if !s.checkCredential() {
		return false
	}
	return s.openSession()
}

// checkCredential reports whether the caller's key is valid for its team. If not,
// it sends a fatal error.
func (s *session) checkCredential() bool {
	if s.gateway.config().Authorizes(s.team, s.credential) {
		return true
	}
	refusal := outcome.Refuse(outcome.Unauthorized, "team %s, key %s", s.team, s.credential.Fingerprint())
	eventlog.CallerRejected.Warn(s.gateway.cfg.Log).Str("remote", s.remote).Err(refusal).Send()
	s.write(fatalMessage(refusal))
	return false
}

// openSession opens the session unless the team's connection limit is reached.
func (s *session) openSession() bool {
	if !s.gateway.reserveTeamConnection(s) {
		s.write(fatalMessage(outcome.Refuse(outcome.TooManyConnections, "team %s", s.team)))
		return false
	}
	s.started.Store(true)
	s.sendWelcome()
	return true
}

// applyStartupParameters sets the session's service, team and settings. The
// database names the service; the user names the team unless a setting does.
func (s *session) applyStartupParameters(params map[string]string) *outcome.Refusal {
	s.service, s.team = params["database"], params["user"]
	if s.service == "" {
		s.service = params["user"]
	}
	if _, found := s.gateway.config().Service(s.service); !found {
		return outcome.Refuse(outcome.UnknownService, "%s", s.service)
	}
	for name, value := range params {
		setting, found := strings.CutPrefix(name, settingPrefix)
		if !found {
			continue
		}
		if refusal := s.setProxySetting(setting, value); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (s *session) sendWelcome() {
	var key [4]byte
	binary.BigEndian.PutUint32(key[:], s.secret)
	buf := encode(nil,
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0 (dotterelswitch)"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: tokenParameter, Value: s.token.Encode()},
		&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: key[:]},
	)
	s.sendReady(buf)
}
