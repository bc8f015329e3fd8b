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

const sessionContextKey = "session"

// itoa formats a number in decimal.
func itoa(number int) string { return strconv.Itoa(number) }

// session is the key, the workspace and the cancellation of one authenticated request.
type session struct {
	key       key.Key
	secret    string
	workspace configuration.Workspace
	withdrawn atomic.Bool
	cancel    context.CancelFunc
}

// sessions tracks the requests in flight, so that the withdrawal of a key cancels them.
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

// cancelWithdrawn cancels the requests whose key is no longer valid.
func (sessions *sessions) cancelWithdrawn(_ *configuration.Text, _ uint64, ring *key.Ring) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	for session := range sessions.active {
		if !ring.Valid(session.key.ID) {
			session.withdrawn.Store(true)
			session.cancel()
		}
	}
}

const bearerPrefix = "Bearer "

// bearerSecret returns the secret from the Authorization header. A key in the query is
// refused.
func bearerSecret(ctx *gin.Context) (string, *refusal.Refusal) {
	if strings.Contains(ctx.Request.URL.RawQuery, key.Prefix) {
		return "", refusal.New(refusal.BadRequest, "a key must not stand in the query, send it as Authorization: Bearer")
	}
	header := ctx.GetHeader("Authorization")
	if !strings.HasPrefix(header, bearerPrefix) {
		return "", refusal.New(refusal.Unauthorized, "a key is needed as Authorization: Bearer")
	}
	return strings.TrimSpace(strings.TrimPrefix(header, bearerPrefix)), nil
}

// authenticate checks the key, tracks the request so that a withdrawal of the key cancels
// it, and applies the rate limit of the workspace.
func (server *Server) authenticate(ctx *gin.Context) {
	session, refused := server.newSession(ctx)
	if refused != nil {
		server.writeError(ctx, refused)
		return
	}
	cancelled, cancel := context.WithCancel(ctx.Request.Context())
	defer cancel()
	session.cancel = cancel
	ctx.Request = ctx.Request.WithContext(cancelled)
	ctx.Set(sessionContextKey, session)
	server.sessions.add(session)
	defer server.sessions.remove(session)
	// The key may have been withdrawn before the session was added.
	server.follower.View(func(state *configuration.State) {
		server.sessions.cancelWithdrawn(state.Text(), state.Version(), state.Ring())
	})
	if err := server.admitter.Admit(cancelled, session.workspace.Name); err != nil {
		server.writeError(ctx, err)
		return
	}
	ctx.Next()
}

// newSession authenticates a request and returns a session with its key and workspace. It
// refuses the request if the list of keys is older than the offline grace of the
// workspace, because the key may have been withdrawn since.
func (server *Server) newSession(ctx *gin.Context) (*session, *refusal.Refusal) {
	secret, refused := bearerSecret(ctx)
	if refused != nil {
		return nil, refused
	}
	identified := &session{secret: secret}
	server.follower.View(func(state *configuration.State) {
		var ok bool
		if identified.key, ok = state.Ring().Find(secret); !ok {
			refused = refusal.New(refusal.Unauthorized, "the key is not valid")
			return
		}
		if identified.workspace, ok = state.Text().Workspace(identified.key.Workspace); !ok || !acceptsKey(identified.workspace, identified.key.ID) {
			refused = refusal.New(refusal.Unauthorized, "the key's workspace does not accept it")
		}
	})
	if refused != nil {
		return nil, refused
	}
	age, ok := server.follower.Age()
	if !ok || age > identified.workspace.OfflineGrace {
		return nil, refusal.New(refusal.StaleKeys, "this host has not been able to check keys for %s", age)
	}
	if age > staleKeysAge {
		server.metrics.Count("offline_grace_used")
	}
	return identified, nil
}

// staleKeysAge is the age of the list of keys from which requests are counted as served
// within the offline grace.
const staleKeysAge = maxWithdrawalDelay

func acceptsKey(workspace configuration.Workspace, id string) bool {
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

// requestSession returns the session of an authenticated request.
func requestSession(ctx *gin.Context) *session {
	return ctx.MustGet(sessionContextKey).(*session)
}
