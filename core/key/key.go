// Package key issues and checks the keys that callers present.
//
// A key consists of its public id, a dot and a random secret. The secret has 160 bits of
// entropy, so one keyed hash is enough; a slow password hash would only add time to each
// login. The store and the configuration hold only the hash.
package key

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"io"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors. Error texts contain neither keys nor
// hashes.
var Error = errs.Class("key")

const (
	idBytes     = 6
	secretBytes = 20
	saltBytes   = 16
)

var encoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Issued is a new key. Text is the whole key; it is shown to the operator once and never
// stored.
type Issued struct {
	ID   string
	Text string
	Hash string
}

// Issue creates a key with random bytes from the reader. It fails only if the reader
// does.
func Issue(random io.Reader) (Issued, error) {
	buf := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := io.ReadFull(random, buf); err != nil {
		return Issued{}, Error.Wrap(err)
	}
	id := strings.ToLower(encoding.EncodeToString(buf[:idBytes]))
	secret := strings.ToLower(encoding.EncodeToString(buf[idBytes : idBytes+secretBytes]))
	salt := buf[idBytes+secretBytes:]
	return Issued{ID: id, Text: id + "." + secret, Hash: hashSecret(salt, secret)}, nil
}

// ID returns the public id of a key, or "" if the text does not have the form of a key.
func ID(text string) string {
	id, secret, ok := strings.Cut(text, ".")
	if !ok || id == "" || secret == "" {
		return ""
	}
	return id
}

// Matches reports whether text is the key with the stored hash. The comparison takes
// constant time, so its duration does not reveal how much of the secret is right.
func Matches(text, stored string) bool {
	_, secret, _ := strings.Cut(text, ".")
	saltHex, _, ok := strings.Cut(stored, ":")
	if !ok {
		return false
	}
	salt, err := hex.DecodeString(saltHex)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(hashSecret(salt, secret)), []byte(stored)) == 1
}

// ValidHash reports whether stored has the form of the hashes that Issue creates.
func ValidHash(stored string) bool {
	saltHex, sumHex, ok := strings.Cut(stored, ":")
	if !ok || len(saltHex) != 2*saltBytes || len(sumHex) != 2*sha256.Size {
		return false
	}
	_, err := hex.DecodeString(saltHex + sumHex)
	return err == nil
}

// hashSecret returns the salt and the HMAC of the secret in hexadecimal, separated by a
// colon.
func hashSecret(salt []byte, secret string) string {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return hex.EncodeToString(salt) + ":" + hex.EncodeToString(mac.Sum(nil))
}
