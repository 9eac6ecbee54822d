package dbgroup

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// statusColumns are the result columns of the group functions.
var statusColumns = []string{"member", "claimed", "is_primary", "follows", "last", "applied", "history", "acks", "heard_us", "change", "done"}

// call runs a SELECT of one of the functions that a member provides.
func (x *executor) call(ctx context.Context, st *callStmt, params []string) (*result, error) {
	args := make([]string, len(st.Arguments))
	for i, a := range st.Arguments {
		v, err := a.bind(params)
		if err != nil {
			return nil, err
		}
		args[i] = v
	}
	m := x.member
	time.Sleep(time.Duration(m.faults.statementDelay.Load()))
	switch function := strings.ToLower(st.Function); {
	case function == "group_status" && len(args) == 0:
		return statusResult(m.Status(), true), nil
	case function == "group_await" && len(args) == 2:
		return x.awaitStatus(ctx, args)
	case function == "group_describe" && len(args) == 0:
		return m.describe(), nil
	case function == "group_claim" && len(args) == 2:
		return x.runTermFunction(args[0], func(t logpos.Term) bool { return m.grantTerm(t, args[1]) })
	case function == "group_promote" && len(args) == 2:
		return x.runTermFunction(args[0], func(t logpos.Term) bool { return m.promote(t, args[1]) })
	case function == "group_follow" && len(args) == 2:
		return x.runTermFunction(args[0], func(t logpos.Term) bool { return m.follow(t, m.group.Member(args[1])) })
	case function == "pg_try_advisory_lock" && len(args) == 1:
		return boolResult(m.server.tryAdvisoryLock(args[0], x.backend)), nil
	case function == "pg_advisory_unlock" && len(args) == 1:
		return boolResult(m.server.advisoryUnlock(args[0], x.backend)), nil
	case function == "group_terminate" && len(args) == 2:
		return boolResult(m.server.terminate(args[0], args[1])), nil
	case function == "pg_sleep" && len(args) == 1:
		return x.sleep(ctx, args[0])
	}
	return nil, &sqlError{code: codeUndefinedFunction, message: "function " + st.Function + " does not exist"}
}

// awaitStatus returns the status once it has changed or the timeout has passed.
func (x *executor) awaitStatus(ctx context.Context, args []string) (*result, error) {
	knownChange, err1 := strconv.ParseUint(args[0], 10, 64)
	timeoutMS, err2 := strconv.Atoi(args[1])
	if err1 != nil || err2 != nil {
		return nil, &sqlError{code: codeInvalidArgument, message: "group_await takes a change number and milliseconds"}
	}
	x.member.awaitChange(ctx, knownChange, time.Duration(timeoutMS)*time.Millisecond)
	return statusResult(x.member.Status(), true), nil
}

// runTermFunction applies a function of a term and returns the resulting status.
func (x *executor) runTermFunction(termText string, apply func(logpos.Term) bool) (*result, error) {
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return nil, &sqlError{code: codeInvalidArgument, message: "term " + termText + " is not a number"}
	}
	done := apply(logpos.Term(term))
	return statusResult(x.member.Status(), done), nil
}

func statusResult(st group.Status, done bool) *result {
	return &result{
		columns: statusColumns,
		rows: [][]string{{
			st.Member,
			strconv.FormatUint(uint64(st.GrantedTerm), 10),
			strconv.FormatBool(st.Primary),
			strconv.FormatUint(uint64(st.Follows), 10),
			st.Last.String(),
			st.Applied.String(),
			st.History.String(),
			ackText(st.Acks),
			strconv.FormatInt(st.SincePrimaryContact.Microseconds(), 10),
			strconv.FormatUint(st.Change, 10),
			strconv.FormatBool(done),
		}},
		tag: "SELECT 1",
	}
}

// ackText formats acknowledgements as "member=term/offset", joined by commas.
func ackText(acks []group.Ack) string {
	parts := make([]string, 0, len(acks))
	for _, a := range acks {
		parts = append(parts, a.Member+"="+a.Last.String())
	}
	return strings.Join(parts, ",")
}

// describeColumns are the result columns of group_describe, which test checkers
// call.
var describeColumns = []string{"service", "term", "is_primary", "replica_reads", "primary_reads"}

func (m *Member) describe() *result {
	st := m.Status()
	return &result{
		columns: describeColumns,
		rows: [][]string{{
			m.group.name, strconv.FormatUint(uint64(st.GrantedTerm), 10), strconv.FormatBool(st.Primary),
			strconv.FormatInt(m.replicaReads.Load(), 10), strconv.FormatInt(m.primaryReads.Load(), 10),
		}},
		tag: "SELECT 1",
	}
}

func boolResult(value bool) *result {
	text := "f"
	if value {
		text = "t"
	}
	return &result{columns: []string{"result"}, rows: [][]string{{text}}, tag: "SELECT 1"}
}

func (x *executor) sleep(ctx context.Context, seconds string) (*result, error) {
	s, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return nil, &sqlError{code: codeInvalidArgument, message: "pg_sleep: " + seconds + " is not a number"}
	}
	release, err := x.member.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	if err := x.member.simulateWork(ctx, time.Duration(s*float64(time.Second))); err != nil {
		return nil, err
	}
	return &result{columns: []string{"pg_sleep"}, rows: [][]string{{""}}, tag: "SELECT 1"}, nil
}
