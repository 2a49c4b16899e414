package main

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"heronwick/internal/cloud"
	"heronwick/internal/failovertest"
	"heronwick/wire"
)

// handler serves the store and the machine service to one controller, through its proxy.
func handler(ctx context.Context, proxy *failovertest.Proxy) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(request.Path()), wire.PathMachines) {
			serveMachines(request, proxy)
			return
		}
		response, err := proxy.Do(ctx, string(request.Method()), string(request.RequestURI()), request.PostBody())
		if err != nil {
			response.Status = fasthttp.StatusServiceUnavailable
		}
		request.SetStatusCode(response.Status)
		request.SetBody(response.Body)
	}
}

// serveMachines serves a request to the machine service. It responds with 503 if there is no
// capacity, and with 504 if the response is lost or the request cannot be decoded.
func serveMachines(request *fasthttp.RequestCtx, proxy *failovertest.Proxy) {
	reply, err := machinesReply(request, proxy)
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		reply = wire.Error{Error: wire.NoCapacity}
	case err != nil:
		request.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	_ = json.NewEncoder(request).Encode(reply)
}

// machinesReply carries out a request to the machine service: a list, a return or a rental.
func machinesReply(request *fasthttp.RequestCtx, proxy *failovertest.Proxy) (any, error) {
	if request.IsGet() {
		machines, err := proxy.List(request)
		return wire.MachineList{Machines: machines}, err
	}
	if string(request.Path()) == wire.PathReturn {
		var names wire.MachineNames
		if err := json.Unmarshal(request.PostBody(), &names); err != nil {
			return names, err
		}
		return names, proxy.Return(request, names.Machines)
	}
	var rental wire.RentRequest
	if err := json.Unmarshal(request.PostBody(), &rental); err != nil {
		return wire.MachineNames{}, err
	}
	machines, err := proxy.Rent(request, rental)
	return wire.MachineNames{Machines: machines}, err
}
