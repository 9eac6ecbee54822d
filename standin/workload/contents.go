package workload

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// ContentsError reports that the upstreams could not be read at the end.
type ContentsError struct {
	Address string
	Err     error
}

func (e *ContentsError) Error() string {
	return fmt.Sprintf("cannot read the contents of upstream %s: %v", e.Address, e.Err)
}

func (e *ContentsError) Unwrap() error { return e.Err }

// roleReads counts the reads that members executed, by their role then.
type roleReads struct{ replica, primary int64 }

// memberState is what one upstream says of itself.
type memberState struct {
	address string
	service string
	term    uint64
	primary bool
	reads   roleReads
}

// readContents returns the rows of the newest primary of each service and the
// reads that all members executed. Members that are down are left out, but a
// service without a primary is an error.
func readContents(ctx context.Context, services, addresses []string) ([]Row, roleReads, error) {
	newest := make(map[string]memberState)
	var reads roleReads
	for _, address := range addresses {
		st, err := readState(ctx, address)
		if err != nil {
			continue
		}
		reads.replica += st.reads.replica
		reads.primary += st.reads.primary
		if best, found := newest[st.service]; st.primary && (!found || st.term > best.term) {
			newest[st.service] = st
		}
	}
	var rows []Row
	for _, service := range services {
		st, found := newest[service]
		if !found {
			return nil, reads, &ContentsError{Address: service, Err: fmt.Errorf("no primary answers")}
		}
		part, err := readRows(ctx, st.address)
		if err != nil {
			return nil, reads, err
		}
		rows = append(rows, part...)
	}
	return rows, reads, nil
}

func query(ctx context.Context, address, sql string) ([][][]byte, error) {
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://checker@%s/?sslmode=disable", address))
	if err != nil {
		return nil, &ContentsError{Address: address, Err: err}
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, &ContentsError{Address: address, Err: err}
	}
	return results[0].Rows, nil
}

func readState(ctx context.Context, address string) (memberState, error) {
	rows, err := query(ctx, address, "SELECT group_describe()")
	if err != nil {
		return memberState{}, err
	}
	text := make([]string, len(rows[0]))
	for i, v := range rows[0] {
		text[i] = string(v)
	}
	const fields = 5
	if len(text) != fields {
		return memberState{}, &ContentsError{Address: address, Err: fmt.Errorf("%d columns", len(text))}
	}
	term, _ := strconv.ParseUint(text[1], 10, 64)
	replica, _ := strconv.ParseInt(text[3], 10, 64)
	primary, _ := strconv.ParseInt(text[4], 10, 64)
	return memberState{
		address: address, service: text[0], term: term, primary: strings.EqualFold(text[2], "true"),
		reads: roleReads{replica: replica, primary: primary},
	}, nil
}

func readRows(ctx context.Context, address string) ([]Row, error) {
	rows, err := query(ctx, address, "SELECT subject, value FROM readings")
	if err != nil {
		return nil, err
	}
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Subject: string(r[0]), Value: string(r[1])})
	}
	return out, nil
}
