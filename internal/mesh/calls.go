package mesh

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/locality"
	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Names of the methods that hosts call on each other.
const (
	methodStatus  = "status" // between hosts of which one speaks membership protocol 0
	methodReport  = "report"
	methodDigest  = "digest"
	methodAppend  = "append"
	methodRead    = "read"
	methodList    = "list"
	methodFind    = "find"
	methodRelease = "release"
	methodReserve = "reserve"
	methodSettle  = "settle"
	methodPush    = "push"
	methodQuota   = "quota"
	methodStarted = "begun"

	methodLocations = "prompt_locations"
	methodPermit    = "permit"

	methodPushOrigin = "push_origin"
	methodFindOrigin = "find_origin"
	methodVersions   = "versions"
	methodExchange   = "exchange"
	methodRevoke     = "exchange_revoke"
	methodStored     = "stored"

	methodTakeAccount   = "quota_take"
	methodAdoptAccounts = "quota_adopt"

	methodPeekQuota  = "quota_peek"
	methodPeekBudget = "reserve_peek"
	methodPeekPermit = "permit_peek"

	methodObserveReports = "quota_report"
	methodAnnounce       = "quota_announce"
)

// Operations are the functions of this host that other hosts can call.
type Operations struct {
	Store           store.Store                                                                             // direct path, so that a relayed call is not relayed again
	Chain           func(workspace, id string) []history.Turn                                               // cached turns of the chain that ends with a turn
	StoredSegment   func(ctx context.Context, homes []string, workspace, id string) ([]history.Turn, error) // stored turns with home regions, of which this host's is one
	Push            func([]history.Turn)                                                                    // caches copies of turns
	Release         func(ctx context.Context, program string, charges []budget.Charge) (int, error)         // returns the unspent tokens of this host's holds to the budget
	Reserve         func(ctx context.Context, request budget.ReservationRequest) (budget.ReservationResponse, error)
	Settle          func(settlement budget.Settlement)
	DecideAdmission func(request quota.AdmissionRequest) quota.AdmissionResponse // decides as the coordinator of a workspace
	TakeAccount     func(request quota.TakeRequest) quota.TakeResponse           // hands an account of this host over
	AdoptAccounts   func(states []*quota.AccountState)                           // takes accounts over
	ObserveReports  func(reports []quota.WorkspaceReport)                        // what another host was admitted for
	// ObserveAnnouncements keeps copies of the accounts of the host at an address.
	ObserveAnnouncements func(address string, messages []quota.Announcement) []quota.Acknowledgement
	ProgramStarted       func(program string) bool
	PromptLocations      func(program string) []locality.Location                                                                   // of the latest turns of a program that this host coordinates
	PeekAdmission        func(request quota.AdmissionRequest) quota.Outlook                                                         // what DecideAdmission would decide
	PeekBudget           func(ctx context.Context, claim budget.Claim) budget.Outlook                                               // what Reserve would decide
	PeekPermit           func(request capacity.PermitRequest) capacity.PermitResponse                                               // what GrantPermit would decide
	GrantPermit          func(request capacity.PermitRequest) capacity.PermitResponse                                               // decides as the coordinator of a target
	Origins              *origin.Resolver                                                                                           // streams that this host knows
	Exchange             func(ctx context.Context, request outbound.ExchangeRequest, send func(outbound.ExchangeChunk) error) error // sends another host's request to a target
	RevokeExchange       func(id string) bool                                                                                       // keeps such a request from being sent; false if it may have been
}

type findRequest struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

// turnList is the response to methodFind and the request of methodPush.
type turnList struct {
	Turns []history.Turn `msgpack:"t,omitempty"`
	// Holder is the address of a host that had read the turns before these. It is empty in a
	// response with a whole chain.
	Holder string `msgpack:"h,omitempty"`
}

// isWhole reports whether the turns are a chain from its first turn on.
func (list turnList) isWhole() bool { return len(list.Turns) > 0 && list.Turns[0].Previous == "" }

type releaseRequest struct {
	Program string          `msgpack:"p"`
	Charges []budget.Charge `msgpack:"x,omitempty"` // of kept turns
}

type releaseResponse struct {
	Returned int `msgpack:"r,omitempty"`
}

type startedRequest struct {
	Program string `msgpack:"p"`
}

type startedResponse struct {
	Started bool `msgpack:"b,omitempty"`
}

type revokeResponse struct {
	Revoked bool `msgpack:"b,omitempty"`
}

type emptyResponse struct{}

type originResponse struct {
	Known  bool          `msgpack:"k,omitempty"`
	Origin origin.Origin `msgpack:"o"`
}

// storeResponse transfers the result of a store call to another host, including
// errors that the store itself returned.
type storeResponse struct {
	Offset   int64         `msgpack:"o,omitempty"`
	Page     store.Page    `msgpack:"p,omitempty"`
	Listing  store.Listing `msgpack:"l,omitempty"`
	Error    string        `msgpack:"e,omitempty"`
	Expected int64         `msgpack:"x,omitempty"`
}

// sequenceErrorCode and the keys of storeErrorsByCode identify errors of the
// store in messages between hosts.
const sequenceErrorCode = "sequence"

var storeErrorsByCode = map[string]error{"trimmed": store.ErrTrimmed, "full": store.ErrFull, "invalid": store.ErrInvalid}

// withError encodes an error that the store itself returned. It returns any
// other error, which fails the call.
func (response storeResponse) withError(err error) (storeResponse, error) {
	var sequence *store.SequenceError
	switch {
	case err == nil:
		return response, nil
	case errors.As(err, &sequence):
		return storeResponse{Error: sequenceErrorCode, Expected: sequence.Expected}, nil
	}
	for code, known := range storeErrorsByCode {
		if errors.Is(err, known) {
			return storeResponse{Error: code}, nil
		}
	}
	return storeResponse{}, err
}

func (response *storeResponse) err() error {
	if response.Error == "" {
		return nil
	}
	if response.Error == sequenceErrorCode {
		return &store.SequenceError{Expected: response.Expected}
	}
	if known, ok := storeErrorsByCode[response.Error]; ok {
		return known
	}
	return fmt.Errorf("peer returned an unknown error code of the store: %q", response.Error)
}

// Handler returns the handler of requests from other hosts.
func (mesh *Mesh) Handler(operations Operations) peer.Handler {
	handlers := map[string]peer.Handler{
		methodStatus: unaryHandler(func(_ context.Context, status Status) (Status, error) {
			mesh.ObserveStatus(status)
			return mesh.localStatus(), nil
		}),
		methodReport: unaryHandler(mesh.serveReport),
		methodDigest: unaryHandler(mesh.serveDigest),
		methodAppend: unaryHandler(func(ctx context.Context, batch store.Append) (storeResponse, error) {
			offset, err := operations.Store.Append(ctx, batch)
			return storeResponse{Offset: offset}.withError(err)
		}),
		methodRead: unaryHandler(func(ctx context.Context, read store.Read) (storeResponse, error) {
			page, err := operations.Store.Read(ctx, read)
			return storeResponse{Page: page}.withError(err)
		}),
		methodList: unaryHandler(func(ctx context.Context, list store.List) (storeResponse, error) {
			listing, err := operations.Store.List(ctx, list)
			return storeResponse{Listing: listing}.withError(err)
		}),
		methodFind: unaryHandler(func(_ context.Context, request findRequest) (turnList, error) {
			found := turnList{Turns: operations.Chain(request.Workspace, request.ID)}
			if len(found.Turns) > 0 && !found.isWhole() {
				found.Holder = found.Turns[len(found.Turns)-1].Holder
			}
			return found, nil
		}),
		methodStored: unaryHandler(func(ctx context.Context, request storedRequest) (storedResponse, error) {
			turns, err := operations.StoredSegment(ctx, request.Homes, request.Workspace, request.ID)
			if errors.Is(err, history.ErrNoTurn) {
				return storedResponse{Unknown: true}, nil
			}
			return storedResponse{Turns: turns}, err
		}),
		methodPush: unaryHandler(func(_ context.Context, copies turnList) (emptyResponse, error) {
			for index := range copies.Turns {
				copies.Turns[index].Holder = copies.Holder
			}
			operations.Push(copies.Turns)
			return emptyResponse{}, nil
		}),
		methodRelease: unaryHandler(func(ctx context.Context, request releaseRequest) (releaseResponse, error) {
			returned, err := operations.Release(ctx, request.Program, request.Charges)
			return releaseResponse{Returned: returned}, err
		}),
		methodReserve: unaryHandler(operations.Reserve),
		methodSettle: unaryHandler(func(_ context.Context, settlement budget.Settlement) (emptyResponse, error) {
			operations.Settle(settlement)
			return emptyResponse{}, nil
		}),
		methodQuota: unaryHandler(func(_ context.Context, request quota.AdmissionRequest) (quota.AdmissionResponse, error) {
			return operations.DecideAdmission(request), nil
		}),
		methodTakeAccount: unaryHandler(func(_ context.Context, request quota.TakeRequest) (quota.TakeResponse, error) {
			return operations.TakeAccount(request), nil
		}),
		methodAdoptAccounts: unaryHandler(func(_ context.Context, accounts accountList) (emptyResponse, error) {
			operations.AdoptAccounts(accounts.Accounts)
			return emptyResponse{}, nil
		}),
		methodObserveReports: unaryHandler(func(_ context.Context, message reportList) (emptyResponse, error) {
			operations.ObserveReports(message.Reports)
			return emptyResponse{}, nil
		}),
		methodAnnounce: unaryHandler(func(_ context.Context, list announcementList) (acknowledgementList, error) {
			return acknowledgementList{operations.ObserveAnnouncements(list.Address, list.Announcements)}, nil
		}),
		methodPermit: unaryHandler(func(_ context.Context, request capacity.PermitRequest) (capacity.PermitResponse, error) {
			return operations.GrantPermit(request), nil
		}),
		methodExchange: func(ctx context.Context, request peer.Request, send func(any) error) error {
			var argument outbound.ExchangeRequest
			if err := request.Decode(&argument); err != nil {
				return err
			}
			return operations.Exchange(ctx, argument, func(chunk outbound.ExchangeChunk) error { return send(chunk) })
		},
		methodRevoke: unaryHandler(func(_ context.Context, revocation outbound.Revocation) (revokeResponse, error) {
			return revokeResponse{Revoked: revocation.Incarnation == mesh.self.Incarnation && operations.RevokeExchange(revocation.ID)}, nil
		}),
		methodPushOrigin: unaryHandler(func(_ context.Context, record origin.Record) (emptyResponse, error) {
			operations.Origins.Store(record)
			return emptyResponse{}, nil
		}),
		methodFindOrigin: unaryHandler(func(_ context.Context, key origin.Key) (originResponse, error) {
			found, known := operations.Origins.Lookup(key)
			return originResponse{Known: known, Origin: found}, nil
		}),
		methodVersions: unaryHandler(func(_ context.Context, request origin.VersionsRequest) (origin.VersionsResponse, error) {
			return operations.Origins.Versions(request), nil
		}),
		methodLocations: unaryHandler(func(_ context.Context, request startedRequest) (locationList, error) {
			return locationList{Locations: operations.PromptLocations(request.Program)}, nil
		}),
		methodPeekQuota: unaryHandler(func(_ context.Context, request quota.AdmissionRequest) (quota.Outlook, error) {
			return operations.PeekAdmission(request), nil
		}),
		methodPeekBudget: unaryHandler(func(ctx context.Context, claim budget.Claim) (budget.Outlook, error) {
			return operations.PeekBudget(ctx, claim), nil
		}),
		methodPeekPermit: unaryHandler(func(_ context.Context, request capacity.PermitRequest) (capacity.PermitResponse, error) {
			return operations.PeekPermit(request), nil
		}),
		methodStarted: unaryHandler(func(_ context.Context, request startedRequest) (startedResponse, error) {
			return startedResponse{Started: operations.ProgramStarted(request.Program)}, nil
		}),
	}
	return func(ctx context.Context, request peer.Request, send func(any) error) error {
		handler, known := handlers[request.Method]
		if !known {
			return fmt.Errorf("unknown method %q", request.Method)
		}
		return handler(ctx, request, send)
	}
}

// unaryHandler returns the handler of a method with one request and one
// response.
func unaryHandler[Request, Response any](serve func(context.Context, Request) (Response, error)) peer.Handler {
	return func(ctx context.Context, request peer.Request, send func(any) error) error {
		var argument Request
		if err := request.Decode(&argument); err != nil {
			return err
		}
		response, err := serve(ctx, argument)
		if err != nil {
			return err
		}
		return send(response)
	}
}

const (
	findTimeout        = 300 * time.Millisecond // a live host responds within a few milliseconds
	coordinatorTimeout = 60 * time.Millisecond
	peerTimeout        = 400 * time.Millisecond
	reserveTimeout     = 300 * time.Millisecond // two store calls and a round trip between hosts, with a margin
	unloadedTimeout    = 800 * time.Millisecond // for the same if this host would have to load the budget itself
	settleAttempts     = 3
	holderSilence      = 2 * time.Second // after which no caller's retries outlast the wait for a host's tokens
)

// PushTurns implements history.Peers. It sends copies of turns to the program's
// coordinator in this data centre. A lost copy does no harm, because the turns
// are already in the store.
func (mesh *Mesh) PushTurns(program string, turns []history.Turn) {
	coordinator, self := mesh.coordinatorOf(program, mesh.self.DataCentre)
	if self {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		var response emptyResponse
		if err := mesh.transport.Ask(ctx, coordinator.Address, methodPush, turnList{Turns: turns, Holder: mesh.self.Address}, &response); err != nil {
			mesh.logger.WithError(err).WithFields(log.Fields{"peer": coordinator.Host, "program": program}).Debug("sending copies of turns to the coordinator failed")
		}
	}()
}

// Recall asks a host to return the unspent tokens of its holds of a program's budget, and
// passes on charges of kept turns. lost is true if the host has ended, has restarted, or has been
// silent for longer than a caller waits for its tokens.
func (mesh *Mesh) Recall(ctx context.Context, incarnation, program string, charges []budget.Charge) (returned int, lost bool, err error) {
	address, found, gone := mesh.AddressByIncarnation(incarnation)
	if gone {
		return 0, true, fmt.Errorf("host %q has ended", incarnation)
	}
	if silence := mesh.silentFor(incarnation); silence > holderSilence {
		return 0, true, fmt.Errorf("host %q has been silent for %v", incarnation, silence.Round(time.Millisecond))
	}
	if !found {
		return 0, false, fmt.Errorf("host %q is not known", incarnation)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var response releaseResponse
	err = mesh.transport.Ask(ctx, address, methodRelease, releaseRequest{program, charges}, &response)
	return response.Returned, false, err
}

// otherDataCentres returns the other data centres with a reachable host.
func (mesh *Mesh) otherDataCentres() []string {
	known := map[string]bool{mesh.self.DataCentre: true}
	var dataCentres []string
	for _, state := range mesh.Reachable() {
		if dataCentre := state.DataCentre; !known[dataCentre] {
			known[dataCentre] = true
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	return dataCentres
}
