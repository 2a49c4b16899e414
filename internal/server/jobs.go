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

// Jobs accepts and cancels jobs and returns their status. An error other than a
// *wire.FieldError is temporary: the user should retry the request.
type Jobs interface {
	// Submit accepts a job. A job that was accepted before is not accepted again. The
	// error is a *wire.FieldError if the job can never be accepted.
	Submit(ctx context.Context, submitted wire.Job) (job.Submission, error)
	// Status returns the status of a job, if the job exists.
	Status(ctx context.Context, id string) (job.Lookup, error)
	// Cancel cancels a job, if the job exists, and returns its status afterwards.
	Cancel(ctx context.Context, id string) (job.Lookup, error)
}

// maxUserRequests bounds the number of concurrent user requests. Further requests are
// refused immediately, so that users cannot delay the replies to workers' heartbeats.
const maxUserRequests = 200

// maxSubmitLatency is the scheduling latency at and above which submissions are refused.
// A submission waits for the processor several times, so at this latency it would be
// answered only after the user's timeout, and it would take processor time from
// heartbeats and placements. With a quarter of this value, a short burst counted as an
// overload, and users' jobs were accepted later than without any limit.
const maxSubmitLatency = time.Second

// limitUserRequests returns a handler that refuses requests while maxUserRequests user
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

// submitJob accepts a job. It responds with 201 if the job is new, and with 200 if it was
// accepted before.
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

// rejectJob rejects an invalid submission, unless a job with its id was accepted before.
// A repeated submission of an accepted job is answered with the job's status, even if its
// other fields are invalid now. id is empty if it could not be parsed.
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

// checkRunnable returns an error if a job can never run: its team is unknown, it exceeds
// its team's limit, or its tasks fit on no machine type.
func (s *Server) checkRunnable(job *wire.Job, types []wire.MachineType) error {
	if err := s.checkTeam(job); err != nil {
		return err
	}
	if !placement.FitsAnyType(job, types) {
		return errFitsNoMachineType
	}
	return nil
}

// checkTeam returns a *wire.FieldError if teams are configured and the job's team is not
// one of them, or if the minimum resources that the job needs at the same time exceed the
// limit of its team.
func (s *Server) checkTeam(job *wire.Job) error {
	if len(s.teams) == 0 {
		return nil
	}
	team, known := s.teams[job.Team]
	if !known {
		return &wire.FieldError{Field: wire.FieldTeam, Reason: "no such team"}
	}
	concurrent := 1 // number of tasks that have to run at the same time
	if job.Kind != wire.KindArray {
		concurrent = job.Tasks
	}
	cpus, gpus := placement.QuantityOf(job.CPUs).Times(concurrent), placement.QuantityOf(job.GPUs).Times(concurrent)
	if cpus.ExceedsLimit(placement.QuantityOf(team.CPUsMax)) || gpus.ExceedsLimit(placement.QuantityOf(team.GPUsMax)) {
		return &wire.FieldError{Field: wire.FieldTasks, Reason: "the job needs more than its team's limit"}
	}
	return nil
}

// jobStatus responds with the status of a job.
func (s *Server) jobStatus(request *fasthttp.RequestCtx, id string) {
	s.withJob(request, id, statusTimeout, s.opts.Jobs.Status)
}

// cancelJob cancels a job and responds with its status.
func (s *Server) cancelJob(request *fasthttp.RequestCtx, id string) {
	s.withJob(request, id, changeTimeout, s.opts.Jobs.Cancel)
}

// jobAction reads or changes a job, if the job exists, and returns its status.
type jobAction func(ctx context.Context, id string) (job.Lookup, error)

// withJob calls action for a job and responds with the status that it returns.
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

// respondStatus responds with the status of a job, with 404 if the job does not exist, or
// with 503 if err is not nil.
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
