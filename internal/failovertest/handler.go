package failovertest

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"heronwick/internal/cloud"
	"heronwick/internal/state"
	"heronwick/wire"
)

// StoreHandler serves the store to one controller. A request that gets no response from the
// transport is answered with 503 once it has failed.
func StoreHandler(ctx context.Context, store state.Transport) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		response, err := store.Do(ctx, string(request.Method()), string(request.RequestURI()), request.PostBody())
		if err != nil {
			response.Status = fasthttp.StatusServiceUnavailable
		}
		request.SetStatusCode(response.Status)
		request.SetBody(response.Body)
	}
}

// MachinesHandler serves a machine service. It responds with 503 if there is no capacity, and
// with 504 if the response is lost or the request cannot be decoded.
func MachinesHandler(machines MachineService) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		reply, err := machinesReply(request, machines)
		switch {
		case errors.Is(err, cloud.ErrNoCapacity):
			request.SetStatusCode(fasthttp.StatusServiceUnavailable)
			reply = wire.Error{Error: wire.NoCapacity}
		case err != nil:
			request.SetStatusCode(fasthttp.StatusGatewayTimeout)
		}
		_ = json.NewEncoder(request).Encode(reply)
	}
}

// machinesReply carries out a request to the machine service: a list, a return or a rental.
func machinesReply(request *fasthttp.RequestCtx, service MachineService) (any, error) {
	if request.IsGet() {
		machines, err := service.List(request)
		return wire.MachineList{Machines: machines}, err
	}
	if string(request.Path()) == wire.PathReturn {
		var names wire.MachineNames
		if err := json.Unmarshal(request.PostBody(), &names); err != nil {
			return names, err
		}
		return names, service.Return(request, names.Machines)
	}
	var rental wire.RentRequest
	if err := json.Unmarshal(request.PostBody(), &rental); err != nil {
		return wire.MachineNames{}, err
	}
	machines, err := service.Rent(request, rental)
	return wire.MachineNames{Machines: machines}, err
}
