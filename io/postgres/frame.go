package postgres

// Encoding and decoding of the few message parts that the proxy inspects. All other
// bytes are passed on unchanged.

import (
	"bytes"
	"encoding/binary"
	"iter"
)

// Message types. Some letters stand for a different message in each direction.
const (
	typeQuery        = 'Q'
	typeParse        = 'P'
	typeBind         = 'B'
	typeDescribe     = 'D'
	typeExecute      = 'E'
	typeClose        = 'C'
	typeSync         = 'S'
	typeFlush        = 'H'
	typeTerminate    = 'X'
	typePassword     = 'p'
	typeFunctionCall = 'F'
	typeCopyData     = 'd'
	typeCopyDone     = 'c'
	typeCopyFail     = 'f'

	typeReadyForQuery        = 'Z'
	typeErrorResponse        = 'E'
	typeNoticeResponse       = 'N'
	typeNotificationResponse = 'A'
	typeParameterStatus      = 'S'
	typeParseComplete        = '1'
	typeBindComplete         = '2'
	typeCloseComplete        = '3'
	typeParameterDescription = 't'
	typeRowDescription       = 'T'
	typeNoData               = 'n'
	typeDataRow              = 'D'
	typeCommandComplete      = 'C'
	typeEmptyQueryResponse   = 'I'
	typePortalSuspended      = 's'
)

// Kinds of objects in Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

// Messages without a body.
var (
	parseComplete = emptyFrame(typeParseComplete)
	bindComplete  = emptyFrame(typeBindComplete)
	closeComplete = emptyFrame(typeCloseComplete)
	noData        = emptyFrame(typeNoData)
	syncFrame     = emptyFrame(typeSync)
	flushFrame    = emptyFrame(typeFlush)
)

// emptyFrame returns a message without a body.
func emptyFrame(t byte) Frame {
	raw := appendFrame(nil, t)
	return Frame{Type: t, Raw: raw, Body: raw[headerBytes:]}
}

// appendFrame appends a message that consists of the given parts.
func appendFrame(b []byte, t byte, parts ...[]byte) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	b = append(b, t)
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// splitFrame takes the first message from a sequence of whole messages. rest is empty
// after the last message.
func splitFrame(b []byte) (f Frame, rest []byte, ok bool) {
	if len(b) < headerBytes {
		return f, nil, false
	}
	n := int64(binary.BigEndian.Uint32(b[1:])) + 1
	if n < headerBytes || n > int64(len(b)) {
		return f, nil, false
	}
	return Frame{Type: b[0], Raw: b[:n], Body: b[headerBytes:n]}, b[n:], true
}

// Frames yields the messages of a batch. It stops at a message that is not whole.
func Frames(b []byte) iter.Seq[Frame] {
	return func(yield func(Frame) bool) {
		for len(b) > 0 {
			f, rest, ok := splitFrame(b)
			if !ok || !yield(f) {
				return
			}
			b = rest
		}
	}
}

// NewFrame returns the message with the given encoding, which includes the header.
func NewFrame(raw []byte) Frame {
	return Frame{Type: raw[0], Raw: raw, Body: raw[headerBytes:]}
}

// Clone returns a copy that stays valid after the next read.
func (f Frame) Clone() Frame { return NewFrame(bytes.Clone(f.Raw)) }

// cutString returns the first zero-terminated string of b and the bytes after it.
func cutString(b []byte) (s, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return nil, nil, false
	}
	return b[:i], b[i+1:], true
}

// parseObject decodes the body of a Describe or Close message.
func parseObject(body []byte) (kind byte, name []byte, ok bool) {
	if len(body) < 2 {
		return 0, nil, false
	}
	name, rest, ok := cutString(body[1:])
	return body[0], name, ok && len(rest) == 0 && (body[0] == objectStatement || body[0] == objectPortal)
}

// statementName returns the name of the prepared statement to which a message of the
// extended query protocol refers. ok is false if the message refers to none.
func statementName(f Frame) (name []byte, ok bool) {
	switch f.Type {
	case typeParse:
		name, _, ok = cutString(f.Body)
	case typeBind:
		var rest []byte
		if _, rest, ok = cutString(f.Body); ok {
			name, _, ok = cutString(rest)
		}
	case typeDescribe, typeClose:
		var kind byte
		kind, name, ok = parseObject(f.Body)
		ok = ok && kind == objectStatement
	}
	return name, ok
}

// errorField returns the value of a field of an ErrorResponse, or "".
func errorField(body []byte, field byte) string {
	for len(body) > 1 {
		value, rest, ok := cutString(body[1:])
		if !ok {
			return ""
		}
		if body[0] == field {
			return string(value)
		}
		body = rest
	}
	return ""
}

// firstColumn returns the name of the first column of a RowDescription.
func firstColumn(body []byte) []byte {
	if len(body) < 3 {
		return nil
	}
	name, _, _ := cutString(body[2:])
	return name
}
