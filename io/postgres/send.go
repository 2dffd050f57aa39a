package postgres

// Send adds to a batch what the connection needs for it: statements that the connection
// lacks, and the mark by which the answer is recognized.

// Send writes a batch. If the error is a *Refusal with NotRun, nothing was written.
func (c *Client) Send(b *Batch) error {
	c.setIdle(false)
	if c.replies.empty() {
		if err := c.drainAsynchronous(); err != nil {
			c.conn.Close()
			return NewRefusal(NotRun, "the connection to the upstream has ended")
		}
	}
	if c.replies.empty() && c.status == 'I' && !c.pipelineOpen {
		c.unnamed = false
		c.transactionBatch = c.batchNumber + 1
	}
	c.batchNumber++
	c.out = c.out[:0]
	if m := &c.marks[c.batchNumber%marksPerConn]; m.describe != nil && c.status != 'E' && !c.replies.failed {
		// An upstream rejects a Describe in a failed transaction.
		c.out = append(c.out, m.describe...)
		c.replies.expect(reply{request: typeDescribe, mode: modeMark, objectKind: objectStatement, name: m.column})
	}
	for name, ok := c.statements.evict(c.transactionBatch); ok; name, ok = c.statements.evict(c.transactionBatch) {
		c.closeStatement(name)
	}
	for rest := b.Frames; len(rest) > 0; {
		f, next, ok := splitFrame(rest)
		if !ok {
			c.conn.Close()
			return NewRefusal(NotRun, "the request is malformed")
		}
		c.addMessage(f, b)
		c.pipelineOpen = f.Type != typeSync && f.Type != typeQuery
		rest = next
	}
	_, err := c.conn.Write(c.out)
	if cap(c.out) > 2*flushThreshold {
		c.out = nil
	}
	return err
}

// drainAsynchronous reads the asynchronous messages that came while the connection was
// idle. Any other message is an error.
func (c *Client) drainAsynchronous() error {
	for {
		f, ok, err := c.conn.pollFrame()
		if !ok || err != nil {
			return err
		}
		if !isAsynchronous(f.Type) {
			return ErrUnexpectedReply
		}
	}
}

// isAsynchronous reports whether an upstream may send a message of this type at any time.
func isAsynchronous(t byte) bool {
	return t == typeParameterStatus || t == typeNoticeResponse || t == typeNotificationResponse
}

// addMessage appends a message of a batch, after the statements that it needs.
func (c *Client) addMessage(f Frame, b *Batch) {
	r := reply{request: f.Type}
	switch f.Type {
	case typeParse, typeBind, typeDescribe, typeClose:
		if f.Type == typeDescribe || f.Type == typeClose {
			r.objectKind, _, _ = parseObject(f.Body)
		}
		if name, ok := statementName(f); ok && !c.ensureStatement(&r, name, f, b) {
			c.replies.expect(r)
			return
		}
	case typeFlush:
		c.out = append(c.out, f.Raw...)
		return
	}
	c.out = append(c.out, f.Raw...)
	c.replies.expect(r)
}

// ensureStatement makes sure that the connection has the prepared statement that a
// message refers to. It returns false if the proxy answers the message itself instead of
// sending it.
func (c *Client) ensureStatement(r *reply, name []byte, f Frame, b *Batch) bool {
	if len(name) == 0 {
		switch {
		case f.Type == typeParse:
			c.unnamed = true
		case !c.unnamed && f.Type != typeClose:
			c.prepareMissing(string(name), b)
			c.unnamed = true
		}
		return true
	}
	if len(name) != len(namePrefix)+2*nameBytes || string(name[:len(namePrefix)]) != namePrefix {
		return true
	}
	s := c.statements.touch(name, c.batchNumber)
	if s != nil && s.stale && f.Type != typeClose {
		c.statements.remove(s.name)
		c.closeStatement(s.name)
		s = nil
	}
	switch {
	case f.Type == typeClose:
		// Other callers may use the statement, so it stays prepared.
		r.mode = modeLocal
		return false
	case f.Type == typeParse && s != nil:
		r.mode = modeLocal
		return false
	case f.Type == typeParse:
		r.name = string(name)
		c.statements.add(r.name, len(f.Raw), c.batchNumber)
	case s == nil:
		c.prepareMissing(string(name), b)
	}
	return true
}

// prepareMissing prepares a statement of an earlier batch that the connection lacks.
func (c *Client) prepareMissing(name string, b *Batch) {
	for _, d := range b.uses {
		if d.name == name {
			c.out = append(c.out, d.parse...)
			c.replies.expect(reply{request: typeParse, mode: modeHidden, name: name})
			if name != "" {
				c.statements.add(name, len(d.parse), c.batchNumber)
			}
			return
		}
	}
}

// closeStatement closes a prepared statement on the upstream.
func (c *Client) closeStatement(name string) {
	c.out = appendFrame(c.out, typeClose, []byte{objectStatement}, []byte(name), []byte{0})
	c.replies.expect(reply{request: typeClose, mode: modeHidden, name: name})
}
