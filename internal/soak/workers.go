package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/httpcall"
	"heronwick/internal/standin"
	"heronwick/wire"
)

const (
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// commandTimeout bounds how long a request to a worker that does not respond is kept.
	commandTimeout = 5 * time.Second
)

// workerAddress returns the address at which a machine's worker takes direct commands. The
// worker is served from the first call on.
func (s *site) workerAddress(machine string) (string, error) {
	s.mu.Lock()
	address := s.addresses[machine]
	s.mu.Unlock()
	if address != "" {
		return address, nil
	}
	address, err := s.serve(s.workerHandler(machine))
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[machine] = address
	return address, nil
}

// workerHandler serves direct commands and status requests to one machine's worker. A worker
// that does not respond closes the connection after commandTimeout.
func (s *site) workerHandler(machine string) fasthttp.RequestHandler {
	link := s.fleet.LinkFrom("")
	return func(request *fasthttp.RequestCtx) {
		ctx, cancel := context.WithTimeout(s.ctx, commandTimeout)
		defer cancel()
		var heartbeat *wire.Heartbeat
		var err error
		status := http.StatusOK
		if string(request.Path()) == wire.PathStatus {
			heartbeat, err = link.Status(ctx, machine)
		} else {
			var commands wire.CommandRequest
			if json.Unmarshal(request.PostBody(), &commands) != nil {
				request.SetStatusCode(http.StatusBadRequest)
				return
			}
			heartbeat, err = link.Command(ctx, machine, &commands)
			if err == nil && (commands.FencingToken < heartbeat.FencingToken || commands.Incarnation != heartbeat.Incarnation) {
				status = http.StatusConflict
			}
		}
		if err != nil {
			_ = request.Conn().Close()
			return
		}
		s.reply(request, status, s.withAddress(heartbeat))
	}
}

// reply writes a JSON response.
func (s *site) reply(request *fasthttp.RequestCtx, status int, value any) {
	request.SetStatusCode(status)
	_ = json.NewEncoder(request).Encode(value)
}

// withAddress sets the address of the worker in its heartbeat.
func (s *site) withAddress(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	address, err := s.workerAddress(heartbeat.Machine)
	if err != nil {
		s.record.event("%s cannot be served: %v", heartbeat.Machine, err)
		return heartbeat
	}
	heartbeat.Address = address
	return heartbeat
}

// deliverHeartbeat sends a worker's heartbeat to a controller. The fleet's workers use it as
// standin.Fleet.DeliverHeartbeat.
func (s *site) deliverHeartbeat(node string, heartbeat *wire.Heartbeat) standin.HeartbeatResponse {
	c := s.controllerNamed(node)
	body, err := json.Marshal(s.withAddress(heartbeat))
	if c == nil || err != nil {
		return standin.HeartbeatResponse{}
	}
	status, text := c.call(http.MethodPost, wire.PathHeartbeat, body, heartbeatTimeout)
	if status == 0 {
		return standin.HeartbeatResponse{}
	}
	reply := &wire.HeartbeatReply{}
	var redirect wire.NotLeaderReply
	_ = json.Unmarshal(text, reply) // the type of the body depends on the status
	_ = json.Unmarshal(text, &redirect)
	return standin.HeartbeatResponse{Status: status, Reply: reply, Redirect: redirect.Leader}
}

// call sends a request to the controller and returns its HTTP status, or 0 if there is no
// response, and the body.
func (c *controller) call(method, path string, body []byte, timeout time.Duration) (status int, text []byte) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request := httpcall.Request{Method: method, URL: "http://" + c.bind + path, Body: body, Deadline: time.Now().Add(timeout)}
	if err := httpcall.Do(c.client, request, response); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
