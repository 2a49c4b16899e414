package server

import (
	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// HeartbeatResult is the response to a worker's heartbeat.
type HeartbeatResult struct {
	// Reply is nil if this controller may not reply to the worker.
	Reply *wire.HeartbeatReply
	// Redirect is the node to which the worker should send its heartbeats instead. It is
	// used only if Reply is nil, and is empty if the node is not known.
	Redirect string
}

// handleHeartbeat handles a worker's heartbeat. It responds with 200 and the reply, with
// 421 and the controller to which the worker should send its heartbeats, or with 503 if
// that controller is not known.
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
