package entry_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

// answerCaller is one caller. Only its own goroutine uses it.
type answerCaller struct {
	run            *answerRun
	host           int
	database, hide string
	random         *rand.Rand
	session        *linecaller.Session
	// open is set while a transaction is open.
	open bool
}

var errAnswerCode = errors.New("the statement was answered with an error")

func (c *answerCaller) work(until time.Time) {
	defer c.close()
	for time.Now().Before(until) {
		if c.session == nil && !c.connect() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if c.operation() != nil && (c.open || c.random.IntN(4) == 0) {
			c.close()
		}
	}
}

func (c *answerCaller) close() {
	if c.session != nil {
		c.session.Close()
		c.session, c.open = nil, false
	}
}

func (c *answerCaller) connect() bool {
	name := fmt.Sprintf("%s-%d", c.database, sessions.Add(1))
	session, err := linecaller.Open(c.run.settings[c.host].CallerAddress, c.database, name, waitLimit)
	if err != nil {
		return false
	}
	c.session = session
	return true
}

// operation runs one statement or one transaction.
func (c *answerCaller) operation() error {
	item := fmt.Sprintf("item-%d", c.random.IntN(20))
	switch c.random.IntN(8) {
	case 0, 1:
		return c.statement("FETCH " + item)
	case 2, 3:
		return c.write(item)
	case 4:
		if err := c.local(fmt.Sprintf("SET zone v%d", c.random.IntN(3))); err != nil {
			return err
		}
		return c.statement("FETCH " + item)
	case 5:
		if err := c.local("PREPARE s FETCH shape"); err != nil {
			return err
		}
		return c.statement("EXECUTE s " + item)
	default:
		return c.transaction(item)
	}
}

func (c *answerCaller) write(item string) error {
	data := "v" + c.session.NextID()
	if c.hide != "" && c.random.IntN(5) == 0 {
		data += strings.ReplaceAll(c.hide, "ID", c.session.NextID())
	}
	return c.statement("STORE " + item + " " + data)
}

func (c *answerCaller) transaction(item string) error {
	if err := c.local("BEGIN"); err != nil {
		return err
	}
	c.open = true
	for range 1 + c.random.IntN(3) {
		time.Sleep(time.Duration(c.random.Int64N(int64(answerThink))))
		err := c.statement("FETCH " + item)
		if c.random.IntN(2) == 0 && err == nil {
			err = c.write(item)
		}
		if err != nil {
			return err
		}
	}
	err := c.statement("COMMIT")
	c.open = err != nil
	return err
}

// local runs a statement that hosts answer themselves.
func (c *answerCaller) local(text string) error {
	a, err := c.session.Run(text)
	if err != nil {
		return err
	}
	if a.Code != "" {
		return errAnswerCode
	}
	if a.Signature != "-" || len(a.Rows) > 0 {
		c.run.fail("%s %.60q got the signature %q and %d rows", a.ID, text, a.Signature, len(a.Rows))
	}
	return nil
}

// statement runs a statement that a member answers, and checks the answer.
func (c *answerCaller) statement(text string) error {
	c.run.mu.Lock()
	c.run.sent[c.session.NextID()] = text
	c.run.mu.Unlock()
	a, err := c.session.Run(text)
	if err != nil {
		c.close()
		return err
	}
	c.run.check(text, a, c.open)
	if a.Code != "" {
		return errAnswerCode
	}
	return nil
}
