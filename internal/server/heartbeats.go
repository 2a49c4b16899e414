package server

import (
	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// HeartbeatResult is what a worker's heartbeat is answered with.
type HeartbeatResult struct {
	// Reply is nil if this controller may not reply.
	Reply *wire.HeartbeatReply
	// Redirect is, without a reply, the node that the worker should send its
	// heartbeats to; empty if that is not known.
	Redirect string
}

// handleHeartbeat answers a worker's heartbeat: 200 with the reply, or 421 with
// the controller that the worker should turn to.
func (s *Server) handleHeartbeat(request *fasthttp.RequestCtx) {
	var heartbeat wire.Heartbeat
	if err := json.Unmarshal(request.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		s.respondError(request, fasthttp.StatusBadRequest, &wire.FieldError{Reason: "not a report"})
		return
	}
	result := s.opts.HandleHeartbeat(&heartbeat)
	switch {
	case result.Reply != nil:
		s.respond(request, fasthttp.StatusOK, result.Reply)
	case result.Redirect != "":
		s.respond(request, fasthttp.StatusMisdirectedRequest, wire.NotLeaderReply{Leader: result.Redirect})
	default:
		s.respondUnavailable(request, errMayNotReply)
	}
}
