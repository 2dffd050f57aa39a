// The text form of a token is base64url of
//
//	version (1 byte) | count | count × (length, group, term, offset) | MAC (16 bytes)
//
// where the numbers are unsigned varints. The MAC is HMAC-SHA256, truncated to 128 bits,
// over a fixed prefix, the team and the bytes before the MAC. It is checked before the
// entries are parsed. Each token has exactly one encoding: entries are sorted, varints
// are minimal and nothing follows the last entry.

package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/zeebo/errs"

	"burdockseam/core/wal"
)

// Classes of this package's errors. Error texts contain neither token text nor secrets.
var (
	// TooLarge is the class for a token that exceeds MaxGroups, MaxName or MaxText.
	TooLarge = errs.Class("session token too large")
	// Malformed is the class for text that is not the encoding of a token.
	Malformed = errs.Class("malformed session token")
	// Forged is the class for text whose MAC does not match the team and the secret.
	Forged = errs.Class("forged session token")
)

// Bounds of an encoded token. A caller sends the text in its startup packet, so the text
// must stay well below the usual limit of 10,000 bytes for that packet.
const (
	MaxGroups = 32   // groups in one token
	MaxName   = 63   // bytes of a group name, the same as for a database name
	MaxText   = 4096 // bytes of text
)

const (
	version   = 1
	macBytes  = 16
	macPrefix = "burdockseam session token\x00"
)

var encoding = base64.RawURLEncoding.Strict()

// Encode returns the text form of the token, which only Decode with the same team and
// secret accepts. It fails with TooLarge if the token exceeds a bound.
func (t Token) Encode(team string, secret []byte) (string, error) {
	if len(t.entries) > MaxGroups {
		return "", TooLarge.New("%d groups, at most %d", len(t.entries), MaxGroups)
	}
	buf := []byte{version}
	buf = binary.AppendUvarint(buf, uint64(len(t.entries)))
	for _, e := range t.entries {
		if len(e.Group) > MaxName {
			return "", TooLarge.New("group name of %d bytes, at most %d", len(e.Group), MaxName)
		}
		buf = binary.AppendUvarint(buf, uint64(len(e.Group)))
		buf = append(buf, e.Group...)
		buf = binary.AppendUvarint(buf, e.Position.Term)
		buf = binary.AppendUvarint(buf, e.Position.Offset)
	}
	buf = append(buf, mac(team, secret, buf)...)
	text := encoding.EncodeToString(buf)
	if len(text) > MaxText {
		return "", TooLarge.New("%d bytes of text, at most %d", len(text), MaxText)
	}
	return text, nil
}

// Decode returns the token that Encode encoded with the same team and secret. Empty text
// is the empty token. It fails with TooLarge, Malformed or Forged, and then returns the
// empty token.
func Decode(team string, secret []byte, text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > MaxText {
		return Token{}, TooLarge.New("%d bytes of text, at most %d", len(text), MaxText)
	}
	buf, err := encoding.DecodeString(text)
	if err != nil {
		return Token{}, Malformed.New("not base64url")
	}
	if len(buf) < macBytes+2 || buf[0] != version {
		return Token{}, Malformed.New("unknown version or too short")
	}
	body, sum := buf[:len(buf)-macBytes], buf[len(buf)-macBytes:]
	if !hmac.Equal(sum, mac(team, secret, body)) {
		return Token{}, Forged.New("MAC does not fit the team")
	}
	return parse(body[1:])
}

// parse reads the count and the entries. Their MAC has been checked, so an error here
// means that a holder of the secret encoded the token in another format.
func parse(b []byte) (Token, error) {
	count, b, ok := uvarint(b)
	if !ok {
		return Token{}, Malformed.New("bad number")
	}
	if count > MaxGroups {
		return Token{}, TooLarge.New("%d groups, at most %d", count, MaxGroups)
	}
	entries := make([]Entry, 0, count)
	for range count {
		var size, term, offset uint64
		if size, b, ok = uvarint(b); !ok || size > MaxName || size > uint64(len(b)) {
			return Token{}, Malformed.New("bad group name")
		}
		group := string(b[:size])
		if term, b, ok = uvarint(b[size:]); !ok {
			return Token{}, Malformed.New("bad term")
		}
		if offset, b, ok = uvarint(b); !ok {
			return Token{}, Malformed.New("bad offset")
		}
		if n := len(entries); n > 0 && entries[n-1].Group >= group || term|offset == 0 {
			return Token{}, Malformed.New("entries are not in canonical form")
		}
		entries = append(entries, Entry{group, wal.Position{Term: term, Offset: offset}})
	}
	if len(b) != 0 {
		return Token{}, Malformed.New("%d bytes after the last entry", len(b))
	}
	return Token{entries}, nil
}

// uvarint reads a varint and returns the bytes after it. It returns false if the varint
// is incomplete or longer than necessary.
func uvarint(b []byte) (uint64, []byte, bool) {
	x, n := binary.Uvarint(b)
	if n <= 0 || n > 1 && b[n-1] == 0 {
		return 0, nil, false
	}
	return x, b[n:], true
}

// mac returns the MAC of an encoded token's body. The length before the team separates
// the team from the body.
func mac(team string, secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(macPrefix))
	h.Write(binary.AppendUvarint(nil, uint64(len(team))))
	h.Write([]byte(team))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
