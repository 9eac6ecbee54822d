package workload

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// ContentsError reports that the final contents of an upstream could not be read.
type ContentsError struct {
	Address string
	Err     error
}

func (e *ContentsError) Error() string {
	return fmt.Sprintf("cannot read the contents of upstream %s: %v", e.Address, e.Err)
}

func (e *ContentsError) Unwrap() error { return e.Err }

// roleReads counts the reads that members executed, by role at that time.
type roleReads struct{ replica, primary int64 }

// memberState is the state that an upstream reports in group_describe.
type memberState struct {
	address string
	service string
	term    uint64
	primary bool
	reads   roleReads
}

// readContents returns the rows of each service's primary in the newest term, and
// the reads that all members executed. Unavailable members are skipped; a service
// without a primary is an error.
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
		if current, found := newest[st.service]; st.primary && (!found || st.term > current.term) {
			newest[st.service] = st
		}
	}
	var rows []Row
	for _, service := range services {
		st, found := newest[service]
		if !found {
			return nil, reads, &ContentsError{Address: service, Err: fmt.Errorf("no reachable member of the service is a primary")}
		}
		serviceRows, err := readRows(ctx, st.address)
		if err != nil {
			return nil, reads, err
		}
		rows = append(rows, serviceRows...)
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
	columns := make([]string, len(rows[0]))
	for i, v := range rows[0] {
		columns[i] = string(v)
	}
	const describeColumns = 5
	if len(columns) != describeColumns {
		return memberState{}, &ContentsError{Address: address, Err: fmt.Errorf("group_describe returned %d columns, want %d", len(columns), describeColumns)}
	}
	term, _ := strconv.ParseUint(columns[1], 10, 64)
	replica, _ := strconv.ParseInt(columns[3], 10, 64)
	primary, _ := strconv.ParseInt(columns[4], 10, 64)
	return memberState{
		address: address, service: columns[0], term: term, primary: strings.EqualFold(columns[2], "true"),
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
