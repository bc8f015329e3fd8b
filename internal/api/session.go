package api

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

const sessionKey = "session"

func itoa(number int) string { return strconv.Itoa(number) }

// session is one authenticated request.
type session struct {
	key       key.Key
	secret    string
	workspace configuration.Workspace
	withdrawn atomic.Bool
	cancel    context.CancelFunc
}

// sessions knows the requests that are under way, so that the withdrawal of a
// key ends them.
type sessions struct {
	mutex  sync.Mutex
	active map[*session]struct{}
}

func newSessions() *sessions { return &sessions{active: make(map[*session]struct{})} }

func (sessions *sessions) add(session *session) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	sessions.active[session] = struct{}{}
}

func (sessions *sessions) remove(session *session) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	delete(sessions.active, session)
}

// check ends the requests whose key is not valid any more.
func (sessions *sessions) check(_ *configuration.Text, _ uint64, ring *key.Ring) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	for session := range sessions.active {
		if !ring.Valid(session.key.ID) {
			session.withdrawn.Store(true)
			session.cancel()
		}
	}
}

// bearer is the only way to present a key.
const bearer = "Bearer "

// secretOf returns the key that came with a request.
func secretOf(ctx *gin.Context) (string, *refusal.Refusal) {
	if strings.Contains(ctx.Request.URL.RawQuery, key.Prefix) {
		return "", refusal.New(refusal.BadRequest, "a key must not stand in the query, send it as Authorization: Bearer")
	}
	header := ctx.GetHeader("Authorization")
	if !strings.HasPrefix(header, bearer) {
		return "", refusal.New(refusal.Unauthorized, "a key is needed as Authorization: Bearer")
	}
	return strings.TrimSpace(strings.TrimPrefix(header, bearer)), nil
}

// authenticate checks the key and counts the request.
func (server *Server) authenticate(ctx *gin.Context) {
	session, refused := server.identify(ctx)
	if refused != nil {
		server.fail(ctx, refused)
		return
	}
	cancelled, cancel := context.WithCancel(ctx.Request.Context())
	defer cancel()
	session.cancel = cancel
	ctx.Request = ctx.Request.WithContext(cancelled)
	ctx.Set(sessionKey, session)
	server.sessions.add(session)
	defer server.sessions.remove(session)
	// The key may have been withdrawn before the session was known.
	server.follower.View(func(state *configuration.State) { server.sessions.check(state.Text(), state.Version(), state.Ring()) })
	if err := server.admitter.Admit(cancelled, session.workspace.Name); err != nil {
		server.fail(ctx, err)
		return
	}
	ctx.Next()
}

// identify finds the key and workspace of a request.
func (server *Server) identify(ctx *gin.Context) (*session, *refusal.Refusal) {
	secret, refused := secretOf(ctx)
	if refused != nil {
		return nil, refused
	}
	found := &session{secret: secret}
	server.follower.View(func(state *configuration.State) {
		var ok bool
		if found.key, ok = state.Ring().Find(secret); !ok {
			refused = refusal.New(refusal.Unauthorized, "the key is not valid")
			return
		}
		if found.workspace, ok = state.Text().Workspace(found.key.Workspace); !ok || !accepts(found.workspace, found.key.ID) {
			refused = refusal.New(refusal.Unauthorized, "the key's workspace does not accept it")
		}
	})
	if refused != nil {
		return nil, refused
	}
	age, ok := server.follower.Age()
	if !ok || age > found.workspace.OfflineGrace {
		return nil, refusal.New(refusal.StaleKeys, "this host has not been able to check keys for %s", age)
	}
	if age > staleKeys {
		server.metrics.Count("offline_grace_used")
	}
	return found, nil
}

// staleKeys is the age of the view of keys from which its use is counted.
const staleKeys = configurationBound

func accepts(workspace configuration.Workspace, id string) bool {
	if len(workspace.Keys) == 0 {
		return true
	}
	for _, accepted := range workspace.Keys {
		if accepted == id {
			return true
		}
	}
	return false
}

// sessionOf returns the session of an authenticated request.
func sessionOf(ctx *gin.Context) *session {
	return ctx.MustGet(sessionKey).(*session)
}
