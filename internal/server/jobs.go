package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/wire"
)

// Jobs accepts, reports on and cancels jobs. An error other than a
// *wire.FieldError says that the user should try again.
type Jobs interface {
	// Submit accepts a job unless that was done before. The error is a
	// *wire.FieldError if the job cannot be accepted as it is.
	Submit(ctx context.Context, submitted wire.Job) (job.Submission, error)
	// Status returns the status of a job, if there is such a job.
	Status(ctx context.Context, id string) (job.Lookup, error)
	// Cancel cancels a job, if there is such a job, and returns its status then.
	Cancel(ctx context.Context, id string) (job.Lookup, error)
}

// maxUserRequests bounds the user requests in progress. Beyond it they are
// refused at once, so that workers' heartbeats are answered whatever users do.
const maxUserRequests = 200

// maxSubmitLatency is the scheduling latency from which on submissions are refused:
// each takes several such waits, and would be answered later than its user waits,
// while heartbeats and placements need its processor time. With a fourth of this a
// short burst counted as an overload, and users' jobs were accepted later than
// without any bound.
const maxSubmitLatency = time.Second

// limitUserRequests returns a handler that refuses requests while too many user
// requests are in progress, and otherwise calls handle.
func (s *Server) limitUserRequests(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		select {
		case s.userRequests <- struct{}{}:
			defer func() { <-s.userRequests }()
			handle(request)
		default:
			s.respondUnavailable(request, errTooManyRequests)
		}
	}
}

// submitJob accepts a job: 201 if it is new, 200 if it was accepted before.
func (s *Server) submitJob(request *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	submitted, err := wire.ParseJob(request.PostBody())
	if err != nil {
		s.rejectJob(ctx, request, submitted.ID, fasthttp.StatusBadRequest, err)
		return
	}
	types := s.opts.MachineTypes()
	if types == nil {
		s.respondUnavailable(request, errNoMachineTypes)
		return
	}
	if err := s.checkRunnable(&submitted, types); err != nil {
		s.rejectJob(ctx, request, submitted.ID, fasthttp.StatusUnprocessableEntity, err)
		return
	}
	if latency := s.opts.SchedulingLatency(); latency >= maxSubmitLatency {
		s.respondUnavailable(request, fmt.Errorf("short of processor time: scheduling latency %v", latency))
		return
	}
	submission, err := s.opts.Jobs.Submit(ctx, submitted)
	if _, rejected := errors.AsType[*wire.FieldError](err); rejected {
		s.rejectJob(ctx, request, submitted.ID, fasthttp.StatusUnprocessableEntity, err)
		return
	}
	switch {
	case err != nil:
		s.respondUnavailable(request, err)
	case submission.Created:
		s.respond(request, fasthttp.StatusCreated, submission.Status)
	default:
		s.respond(request, fasthttp.StatusOK, submission.Status)
	}
}

// rejectJob rejects a job for good, unless it was accepted before: a repeated
// submission is answered as such, whatever else it holds now. id is empty if it
// could not be read.
func (s *Server) rejectJob(ctx context.Context, request *fasthttp.RequestCtx, id string, code int, reason error) {
	if id != "" {
		accepted, err := s.opts.Jobs.Status(ctx, id)
		if err != nil || accepted.Found {
			s.respondStatus(request, accepted, err)
			return
		}
	}
	s.respondError(request, code, reason)
}

// checkRunnable returns why a job can never run: its team is unknown, it needs
// more than its team's limit, or no machine type fits its tasks.
func (s *Server) checkRunnable(job *wire.Job, types []wire.MachineType) error {
	if err := s.checkTeam(job); err != nil {
		return err
	}
	if !placement.FitsAnyType(job, types) {
		return errFitsNoMachineType
	}
	return nil
}

// checkTeam returns a *wire.FieldError if teams are configured and the job's is
// not among them, or if the least that the job needs at once is beyond its limit.
func (s *Server) checkTeam(job *wire.Job) error {
	if len(s.teams) == 0 {
		return nil
	}
	team, known := s.teams[job.Team]
	if !known {
		return &wire.FieldError{Field: wire.FieldTeam, Reason: "no such team"}
	}
	concurrent := 1.0 // tasks that have to run at the same time
	if job.Kind != wire.KindArray {
		concurrent = float64(job.Tasks)
	}
	needed := placement.TaskResources(job).Times(concurrent)
	if team.CPUsMax > 0 && needed.CPUs > team.CPUsMax || team.GPUsMax > 0 && needed.GPUs > team.GPUsMax {
		return &wire.FieldError{Field: wire.FieldTasks, Reason: "the job needs more than its team's limit"}
	}
	return nil
}

// jobStatus answers with the status of a job.
func (s *Server) jobStatus(request *fasthttp.RequestCtx, id string) {
	s.withJob(request, id, statusTimeout, s.opts.Jobs.Status)
}

// cancelJob cancels a job and answers with its status.
func (s *Server) cancelJob(request *fasthttp.RequestCtx, id string) {
	s.withJob(request, id, changeTimeout, s.opts.Jobs.Cancel)
}

// jobAction does something about a job, if there is such a job, and returns its
// status.
type jobAction func(ctx context.Context, id string) (job.Lookup, error)

// withJob calls action for a job and answers with the status that it returns.
func (s *Server) withJob(request *fasthttp.RequestCtx, id string, timeout time.Duration, action jobAction) {
	if !wire.ValidJobID(id) {
		s.respondError(request, fasthttp.StatusNotFound, errNoSuchJob)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	found, err := action(ctx, id)
	s.respondStatus(request, found, err)
}

// respondStatus answers with the status of a job, if there is such a job.
func (s *Server) respondStatus(request *fasthttp.RequestCtx, lookup job.Lookup, err error) {
	switch {
	case err != nil:
		s.respondUnavailable(request, err)
	case !lookup.Found:
		s.respondError(request, fasthttp.StatusNotFound, errNoSuchJob)
	default:
		s.respond(request, fasthttp.StatusOK, lookup.Status)
	}
}
