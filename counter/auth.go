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

// anonymousName is the name of every caller if callers.open is set.
const anonymousName = "anyone"

type digest [sha256.Size]byte

// tokenStore maps the hashes of tokens to callers.
//
// The map is indexed by an HMAC of the hash, under a random key of this process. With the
// plain hash as the index, the time of a lookup would depend on how much of a guessed
// hash matches a stored one, and a caller could recover the stored hash from the timing of
// many guesses. A secret HMAC key rules out such a timing attack.
type tokenStore struct {
	allowAll bool
	hmacKey  []byte
	byHMAC   map[digest]credential
}

type credential struct {
	hash   digest
	caller job.Caller
}

func newTokenStore(cfg settings.Callers) *tokenStore {
	s := &tokenStore{allowAll: cfg.Open, hmacKey: make([]byte, sha256.Size), byHMAC: make(map[digest]credential, len(cfg.Tokens))}
	_, _ = rand.Read(s.hmacKey)
	for _, t := range cfg.Tokens {
		var d digest
		if n, err := hex.Decode(d[:], []byte(t.SHA256)); err != nil || n != len(d) {
			continue // settings.Parse rejects such a hash
		}
		s.byHMAC[s.hmacOf(d)] = credential{d, job.Caller{Name: t.Caller, Team: t.Team}}
	}
	return s
}

func (s *tokenStore) hmacOf(d digest) digest {
	h := hmac.New(sha256.New, s.hmacKey)
	_, _ = h.Write(d[:])
	return digest(h.Sum(nil))
}

func (s *tokenStore) lookup(token string) (job.Caller, bool) {
	d := digest(sha256.Sum256([]byte(token)))
	c, ok := s.byHMAC[s.hmacOf(d)]
	if !ok || subtle.ConstantTimeCompare(c.hash[:], d[:]) != 1 {
		return job.Caller{}, false
	}
	return c.caller, true
}

const bearerPrefix = "bearer "

// caller authenticates a request by its bearer token and returns the caller to whom the token
// belongs.
func (c *Counter) caller(r *http.Request) (job.Caller, error) {
	if c.tokens.allowAll {
		return job.Caller{Name: anonymousName}, nil
	}
	h := r.Header.Get("Authorization")
	if len(h) >= len(bearerPrefix) && strings.EqualFold(h[:len(bearerPrefix)], bearerPrefix) {
		if caller, ok := c.tokens.lookup(h[len(bearerPrefix):]); ok {
			return caller, nil
		}
	}
	c.tokenLogLimit.Do(func() { event.TokenRefused.Log(c.log, "from", r.RemoteAddr, "path", r.URL.Path) })
	return job.Caller{}, refusal.New(refusal.Unauthorized, "")
}
