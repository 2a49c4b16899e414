package server

import (
	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// handleHeartbeat answers a worker's heartbeat: 200 with the reply, or 421 with
// the controller that the worker should turn to.
func (s *Server) handleHeartbeat(request *fasthttp.RequestCtx) {
	var heartbeat wire.Heartbeat
	if err := json.Unmarshal(request.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		s.respondError(request, fasthttp.StatusBadRequest, &wire.FieldError{Reason: "not a report"})
		return
	}
	reply, redirect := s.opts.HandleHeartbeat(&heartbeat)
	switch {
	case reply != nil:
		s.respond(request, fasthttp.StatusOK, reply)
	case redirect != "":
		s.respond(request, fasthttp.StatusMisdirectedRequest, wire.NotLeaderReply{Leader: redirect})
	default:
		s.respondUnavailable(request, errMayNotReply)
	}
}
