package counter

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/settings"
)

// anyone is the caller that all are when the settings leave callers open.
const anyone = "anyone"

type digest [sha256.Size]byte

// keyring knows callers by the hashes of their tokens.
//
// It finds them under a hash with a random key of this process. With the plain
// hash as the map's key, the time of a lookup would depend on how much of a
// guessed hash agrees with a stored one, and over many tries would tell it to
// a caller with a clock. Under a key that nobody knows, guesses can't be aimed.
type keyring struct {
	open    bool
	secret  []byte
	callers map[digest]credential
}

type credential struct {
	hash   digest
	caller job.Caller
}

func newKeyring(cfg settings.Callers) *keyring {
	k := &keyring{open: cfg.Open, secret: make([]byte, sha256.Size), callers: make(map[digest]credential, len(cfg.Tokens))}
	_, _ = rand.Read(k.secret)
	for _, t := range cfg.Tokens {
		var d digest
		if n, err := hex.Decode(d[:], []byte(t.SHA256)); err != nil || n != len(d) {
			continue
		}
		k.callers[k.place(d)] = credential{d, job.Caller{Name: t.Caller, Team: t.Team}}
	}
	return k
}

func (k *keyring) place(d digest) digest {
	h := hmac.New(sha256.New, k.secret)
	_, _ = h.Write(d[:])
	return digest(h.Sum(nil))
}

func (k *keyring) find(token string) (job.Caller, bool) {
	d := digest(sha256.Sum256([]byte(token)))
	c, ok := k.callers[k.place(d)]
	if !ok || subtle.ConstantTimeCompare(c.hash[:], d[:]) != 1 {
		return job.Caller{}, false
	}
	return c.caller, true
}

const bearer = "bearer "

func (c *Counter) caller(r *http.Request) (job.Caller, error) {
	if c.keys.open {
		return job.Caller{Name: anyone}, nil
	}
	h := r.Header.Get("Authorization")
	if len(h) >= len(bearer) && strings.EqualFold(h[:len(bearer)], bearer) {
		if caller, ok := c.keys.find(h[len(bearer):]); ok {
			return caller, nil
		}
	}
	c.strangers.Do(func() { event.TokenRefused.Log(c.log, "from", r.RemoteAddr, "path", r.URL.Path) })
	return job.Caller{}, refusal.New(refusal.Unauthorized, "")
}
