package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/duty"
	"heronwick/internal/dutyreport"
	"heronwick/wire"
)

// dutiesCommand groups the operator's commands for the single duties of running
// controllers.
type dutiesCommand struct {
	List     listCommand     `cmd:"" help:"List duties, their holders and open intents, as one controller knows them."`
	Report   reportCommand   `cmd:"" help:"Turn the recorded history of actions into an archive (Parquet) and a page with plots."`
	Handover handoverCommand `cmd:"" help:"Have a controller give up a duty that it holds."`
	Clear    clearCommand    `cmd:"" help:"Remove the record of a duty that cannot be read."`
}

// operatorTimeout is how long an operator's command waits for a controller.
const operatorTimeout = 5 * time.Second

// callController sends a request to the controller at address, HOST:PORT, and
// decodes the JSON of its response into response.
func callController(method, address, path string, response any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + strings.TrimPrefix(address, "http://") + path)
	if err := fasthttp.DoTimeout(req, resp, operatorTimeout); err != nil {
		return fmt.Errorf("asking %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d: %.300s", address, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), response); err != nil {
		return fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	return nil
}

// listCommand lists duties.
type listCommand struct {
	From string `help:"Address of a controller." required:"" placeholder:"HOST:PORT"`
}

// Run implements kong's interface of a command.
func (l *listCommand) Run() error {
	var duties wire.Duties
	if err := callController(fasthttp.MethodGet, l.From, wire.PathDuties, &duties); err != nil {
		return err
	}
	fmt.Printf("%s: single duties are active: %v, lease %gs\n", duties.Node, duties.Active, duties.LeaseS)
	for _, entry := range duties.Duties {
		holder := entry.Holder
		switch {
		case entry.Corrupt:
			holder = "(its record cannot be read)"
		case holder == "":
			holder = "(nobody)"
		}
		fmt.Printf("%-24s token %-10d %s\n", entry.ID, entry.Token, holder)
	}
	for _, intent := range duties.Returns {
		fmt.Printf("condemned under token %d, %s: %s\n", intent.Token, intent.Reason, strings.Join(intent.Machines, " "))
	}
	for _, intent := range duties.Rentals {
		fmt.Printf("renting under token %d: %s\n", intent.Token, strings.Join(intent.Requests, " "))
	}
	return nil
}

// handoverCommand has a controller give up a duty.
type handoverCommand struct {
	At   string `help:"Address of the controller that holds it." required:"" placeholder:"HOST:PORT"`
	Duty string `arg:"" help:"The duty, NAME/SCOPE, for example rent/fleet."`
}

// Run implements kong's interface of a command.
func (h *handoverCommand) Run() error { return changeDuty(h.At, wire.PathHandOver, h.Duty) }

// clearCommand removes a duty's record that cannot be read.
type clearCommand struct {
	At   string `help:"Address of a controller." required:"" placeholder:"HOST:PORT"`
	Duty string `arg:"" help:"The duty, NAME/SCOPE, for example rent/fleet."`
}

// Run implements kong's interface of a command.
func (c *clearCommand) Run() error { return changeDuty(c.At, wire.PathClear, c.Duty) }

// changeDuty has a controller change a duty by a POST to path. The error is a
// usageError if id is not of the form NAME/SCOPE.
func changeDuty(address, path, id string) error {
	if _, err := duty.ParseID(id); err != nil {
		return usageError{err}
	}
	return callController(fasthttp.MethodPost, address, path+"?duty="+url.QueryEscape(id), &struct{}{})
}

// reportCommand turns the recorded history of actions into an archive and a page.
type reportCommand struct {
	From    []string `help:"Addresses of controllers whose history is read." placeholder:"HOST:PORT"`
	Read    string   `help:"Archive to read instead." type:"path" placeholder:"FILE"`
	Archive string   `help:"Archive (Parquet) to write." type:"path" placeholder:"FILE"`
	HTML    string   `help:"Page to write." type:"path" placeholder:"FILE"`
}

// Validate implements kong's check of arguments.
func (r *reportCommand) Validate() error {
	switch {
	case (len(r.From) == 0) == (r.Read == ""):
		return errors.New("either --from or --read must be given")
	case r.Archive == "" && r.HTML == "":
		return errors.New("--archive, --html or both must be given")
	}
	return nil
}

// Run implements kong's interface of a command.
func (r *reportCommand) Run() error {
	events, err := r.events()
	if err != nil {
		return err
	}
	if r.Archive != "" {
		if err := dutyreport.WriteArchive(r.Archive, events); err != nil {
			return err
		}
	}
	if r.HTML == "" {
		return nil
	}
	file, err := os.Create(r.HTML)
	if err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return errors.Join(dutyreport.WritePage(file, events), file.Close())
}

// events reads the history from the controllers or from an archive.
func (r *reportCommand) events() ([]wire.DutyEvent, error) {
	if r.Read != "" {
		return dutyreport.ReadArchive(r.Read)
	}
	var events []wire.DutyEvent
	for _, address := range r.From {
		var duties wire.Duties
		if err := callController(fasthttp.MethodGet, address, wire.PathDuties, &duties); err != nil {
			return nil, err
		}
		events = append(events, duties.Events...)
	}
	return events, nil
}
