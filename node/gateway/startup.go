package gateway

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// settingPrefix begins the names of the settings that callers may set.
const settingPrefix = "dotterelswitch."

// passwordMessage is the type of a message with a key.
const passwordMessage = 'p'

const (
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	protocolVersion3  = pgproto3.ProtocolVersion30
)

// startup handles the untyped messages that open a connection; it reports
// whether the connection goes on.
func (s *session) startup(body []byte) bool {
	if len(body) < startupHeader {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "start-up message of %d bytes", len(body))))
		return false
	}
	switch code := binary.BigEndian.Uint32(body); code {
	case sslRequestCode, gssRequestCode:
		s.write([]byte("N"))
		return true
	case cancelRequestCode:
		s.cancelOther(body)
		return false
	case protocolVersion3:
		return s.login(body)
	default:
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "protocol version %d.%d", code>>16, code&0xffff)))
		return false
	}
}

func (s *session) cancelOther(body []byte) {
	const size = 12
	if len(body) == size {
		s.gateway.cancel(binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:]))
	}
}

// login takes the start-up parameters and opens the session.
func (s *session) login(body []byte) bool {
	var msg pgproto3.StartupMessage
	if err := msg.Decode(body); err != nil {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "%v", err)))
		return false
	}
	if refusal := s.takeParameters(msg.Parameters); refusal != nil {
		eventlog.CallerRejected.Warn(s.gateway.cfg.Log).Str("remote", s.remote).Err(refusal).Send()
		s.write(fatalMessage(refusal))
		return false
	}
	if s.gateway.config().RequiresKeys() {
		s.awaitsKey = true
		s.write(encode(nil, &pgproto3.AuthenticationCleartextPassword{}))
		return true
	}
	return s.admit()
}

// takeCredential takes the key that the caller was asked for.
func (s *session) takeCredential(fr frame) bool {
	var msg pgproto3.PasswordMessage
	if fr.kind != passwordMessage || msg.Decode(fr.body) != nil {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "a key was asked for")))
		return false
	}
	s.awaitsKey = false
	s.credential = catalog.NewCredential(msg.Password)
	if !s.authorized() {
		return false
	}
	return s.admit()
}

// authorized ends the session of a caller whose team does not hold its key, or does
// not hold it any more.
func (s *session) authorized() bool {
	if s.gateway.config().Authorizes(s.team, s.credential) {
		return true
	}
	refusal := outcome.Refuse(outcome.Unauthorized, "team %s, key %s", s.team, s.credential.Fingerprint())
	eventlog.CallerRejected.Warn(s.gateway.cfg.Log).Str("remote", s.remote).Err(refusal).Send()
	s.write(fatalMessage(refusal))
	return false
}

// admit opens the session, within the team's limit of connections.
func (s *session) admit() bool {
	if !s.gateway.countTeam(s) {
		s.write(fatalMessage(outcome.Refuse(outcome.TooManyConnections, "team %s", s.team)))
		return false
	}
	s.started.Store(true)
	s.welcome()
	return true
}

// takeParameters reads the session's service, team and settings. The
// database names the service; the user is the team unless one is given.
func (s *session) takeParameters(params map[string]string) *outcome.Refusal {
	s.service, s.team = params["database"], params["user"]
	if s.service == "" {
		s.service = params["user"]
	}
	if _, found := s.gateway.config().Service(s.service); !found {
		return outcome.Refuse(outcome.UnknownService, "%s", s.service)
	}
	for name, value := range params {
		setting, own := strings.CutPrefix(name, settingPrefix)
		if !own {
			continue
		}
		if refusal := s.setOwn(setting, value); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (s *session) welcome() {
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
	s.ready(buf)
}
