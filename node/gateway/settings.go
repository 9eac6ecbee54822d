package gateway

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/ledger"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/core/token"
)

// tokenParameter is the ParameterStatus that reports the session token to the
// caller, and the setting by which the caller restores it.
const tokenParameter = settingPrefix + "token"

const maxTeamNameBytes = 63

// textOID is the OID of PostgreSQL's type text.
const textOID = 25

// setProxySetting changes a setting of the proxy; name lacks settingPrefix.
func (s *session) setProxySetting(name, value string) *outcome.Refusal {
	switch name {
	case "token":
		return s.setToken(value)
	case "class":
		return s.setClass(value)
	case "idempotency_key":
		return s.setIdempotencyKey(value)
	case "team":
		if s.started.Load() {
			return outcome.Refuse(outcome.Unsupported, "the team is fixed at start-up")
		}
		if value == "" || len(value) > maxTeamNameBytes {
			return outcome.Refuse(outcome.ProtocolViolation, "team %q is not 1 to %d bytes long", value, maxTeamNameBytes)
		}
		s.team = value
		return nil
	default:
		return outcome.Refuse(outcome.Unsupported, "there is no setting %s%s; there are token, class, idempotency_key and team", settingPrefix, name)
	}
}

// setToken merges a token into the session's token. Positions only advance.
func (s *session) setToken(text string) *outcome.Refusal {
	given, err := token.Decode(text)
	if err != nil {
		return outcome.Refuse(outcome.TokenMalformed, "%v", err)
	}
	merged, err := s.token.Merge(given)
	if err != nil {
		return outcome.Refuse(outcome.TokenMalformed, "%v", err)
	}
	s.token = merged
	return nil
}

func (s *session) setClass(name string) *outcome.Refusal {
	if name == "" {
		s.class = ""
		return nil
	}
	if _, found := s.gateway.config().Staleness(name, s.service, time.Now()); !found {
		return outcome.Refuse(outcome.ProtocolViolation, "request class %q is not declared", name)
	}
	s.class = name
	return nil
}

// setIdempotencyKey sets the idempotency key of the next write.
func (s *session) setIdempotencyKey(text string) *outcome.Refusal {
	if text != "" {
		if _, err := ledger.ParseKey(text); err != nil {
			return outcome.Refuse(outcome.ProtocolViolation, "%v", err)
		}
	}
	s.idempotencyKey = text
	return nil
}

var setPattern = regexp.MustCompile(`(?is)^(?:\s|/\*.*?\*/)*SET\s+(?:SESSION\s+)?([a-z_][a-z0-9_.]*)\s*(?:=|\s+TO\s+)\s*(.*?)\s*;?\s*$`)

// acceptedSettings are the settings that drivers commonly send, with the required
// value, or empty for any value. Other session settings are refused, because they
// would be lost on a pooled connection.
var acceptedSettings = map[string]string{
	"client_encoding": "utf8", "standard_conforming_strings": "on",
	"application_name": "", "extra_float_digits": "", "datestyle": "", "intervalstyle": "",
}

// set handles SET outside a transaction.
func (s *session) set(sql string) {
	m := setPattern.FindStringSubmatch(sql)
	if m == nil {
		s.sendError(outcome.Refuse(outcome.Unsupported, "only SET name = value is understood"))
		return
	}
	name, value := strings.ToLower(m[1]), unquote(m[2])
	var refusal *outcome.Refusal
	if setting, found := strings.CutPrefix(name, settingPrefix); found {
		refusal = s.setProxySetting(setting, value)
	} else {
		refusal = s.setPostgresSetting(name, value)
	}
	if refusal != nil {
		s.sendError(refusal)
		return
	}
	s.sendReady(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("SET")}))
}

// setPostgresSetting handles a SET of a PostgreSQL setting.
func (s *session) setPostgresSetting(name, value string) *outcome.Refusal {
	if name == "statement_timeout" {
		return s.setTimeout(value)
	}
	return checkPostgresSetting(name, value)
}

// checkPostgresSetting refuses a PostgreSQL setting that would be lost.
func checkPostgresSetting(name, value string) *outcome.Refusal {
	want, known := acceptedSettings[name]
	if !known || (want != "" && !strings.EqualFold(strings.ReplaceAll(value, "-", ""), want)) {
		return outcome.Refuse(outcome.Unsupported, "SET %s would be lost on a pooled connection; use SET LOCAL in a transaction", name)
	}
	return nil
}

// transactionSetting returns the text of a prepared SET with the effect limited to its
// transaction, so that it leaves nothing on the pooled connection. Drivers prepare the
// settings that they send on start-up.
func transactionSetting(sql string) (string, *outcome.Refusal) {
	m := setPattern.FindStringSubmatch(sql)
	if m == nil {
		return "", outcome.Refuse(outcome.Unsupported, "only SET name = value is understood")
	}
	name, value := strings.ToLower(m[1]), m[2]
	if strings.HasPrefix(name, settingPrefix) || name == "statement_timeout" {
		return "", outcome.Refuse(outcome.Unsupported, "SET %s is understood as a simple query only", name)
	}
	if refusal := checkPostgresSetting(name, unquote(value)); refusal != nil {
		return "", refusal
	}
	return "SET LOCAL " + name + " = " + value, nil
}

func (s *session) setTimeout(value string) *outcome.Refusal {
	ms, err := strconv.Atoi(value)
	d := time.Duration(ms) * time.Millisecond
	if err != nil {
		d, err = time.ParseDuration(strings.ReplaceAll(value, " ", ""))
	}
	if err != nil || d < 0 {
		return outcome.Refuse(outcome.ProtocolViolation, "statement_timeout %q is not milliseconds or a duration such as 5s", value)
	}
	s.timeout = s.gateway.cfg.StatementTimeout
	if d > 0 {
		s.timeout = min(d, s.gateway.cfg.StatementTimeout)
	}
	return nil
}

func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

// show answers SHOW of a proxy setting. It returns false for other settings.
func (s *session) show(tokens []string, sql string) bool {
	const tokenCount = 3
	if len(tokens) != tokenCount || !strings.EqualFold(tokens[1]+".", settingPrefix) {
		return false
	}
	values := map[string]string{
		"TOKEN": s.token.Encode(), "CLASS": s.class, "IDEMPOTENCY_KEY": s.idempotencyKey,
		"TEAM": s.team, "SERVICE": s.service, "HOST": s.gateway.router.Sender(),
	}
	value, known := values[tokens[2]]
	if !known {
		s.sendError(outcome.Refuse(outcome.Unsupported, "there is no setting %s", strings.TrimSpace(sql)))
		return true
	}
	s.sendReady(encode(nil,
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
			Name: []byte(strings.ToLower(tokens[2])), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	))
	return true
}
