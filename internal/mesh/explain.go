package mesh

import (
	"context"
	"errors"
	"fmt"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// PeekAdmission implements quota.Peeker.
func (mesh *Mesh) PeekAdmission(ctx context.Context, address string, request quota.AdmissionRequest) (quota.Outlook, error) {
	var outlook quota.Outlook
	err := mesh.peek(ctx, address, methodPeekQuota, request, &outlook, quota.ErrNotExplained)
	return outlook, err
}

// PeekBudget implements budget.Peeker.
func (mesh *Mesh) PeekBudget(ctx context.Context, address string, claim budget.Claim) (budget.Outlook, error) {
	var outlook budget.Outlook
	err := mesh.peek(ctx, address, methodPeekBudget, claim, &outlook, budget.ErrNotExplained)
	return outlook, err
}

// PeekPermit implements capacity.Peeker.
func (mesh *Mesh) PeekPermit(ctx context.Context, address string, request capacity.PermitRequest) (capacity.PermitResponse, error) {
	var response capacity.PermitResponse
	err := mesh.peek(ctx, address, methodPeekPermit, request, &response, capacity.ErrNotExplained)
	return response, err
}

// peek asks a host for an explanation, within the time limit of the request that it
// explains. The error wraps notExplained if the host responds with an error: one of an
// older build does not know the method.
func (mesh *Mesh) peek(ctx context.Context, address, method string, argument, outlook any, notExplained error) error {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	err := mesh.transport.Ask(ctx, address, method, argument, outlook)
	if err == nil || errors.Is(err, peer.ErrConnection) || ctx.Err() != nil {
		return err
	}
	return fmt.Errorf("%w: %w", notExplained, err)
}
