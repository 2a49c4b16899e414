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

// dutiesCommand groups the operator commands that inspect and change the single duties
// of running controllers.
type dutiesCommand struct {
	List     listCommand     `cmd:"" help:"List the duties, their holders and the open intents that a controller knows."`
	Report   reportCommand   `cmd:"" help:"Write the recorded history of duties to an archive (Parquet), an HTML page with plots, or both."`
	Handover handoverCommand `cmd:"" help:"Tell a controller to give up a duty that it holds."`
	Clear    clearCommand    `cmd:"" help:"Remove the corrupt record of a duty."`
}

// operatorTimeout limits how long an operator command waits for a controller's response.
const operatorTimeout = 5 * time.Second

// callController sends a request to the controller at address, which has the form
// HOST:PORT, and decodes the JSON body of the response into response.
func callController(method, address, path string, response any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + strings.TrimPrefix(address, "http://") + path)
	if err := fasthttp.DoTimeout(req, resp, operatorTimeout); err != nil {
		return fmt.Errorf("calling %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s responded with status %d: %.300s", address, resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), response); err != nil {
		return fmt.Errorf("decoding the response of %s: %w", address, err)
	}
	return nil
}

// listCommand lists the duties, their holders and the open intents.
type listCommand struct {
	From string `help:"Address of a controller." required:"" placeholder:"HOST:PORT"`
}

// Run implements kong's interface for commands.
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

// handoverCommand tells a controller to give up a duty.
type handoverCommand struct {
	At   string `help:"Address of the controller that holds the duty." required:"" placeholder:"HOST:PORT"`
	Duty string `arg:"" help:"The duty, NAME/SCOPE, for example rent/fleet."`
}

// Run implements kong's interface for commands.
func (h *handoverCommand) Run() error { return changeDuty(h.At, wire.PathHandOver, h.Duty) }

// clearCommand removes the corrupt record of a duty.
type clearCommand struct {
	At   string `help:"Address of a controller." required:"" placeholder:"HOST:PORT"`
	Duty string `arg:"" help:"The duty, NAME/SCOPE, for example rent/fleet."`
}

// Run implements kong's interface for commands.
func (c *clearCommand) Run() error { return changeDuty(c.At, wire.PathClear, c.Duty) }

// changeDuty sends a POST request for the duty id to path on the controller at address.
// It returns a usageError if id is not a known duty of the form NAME/SCOPE.
func changeDuty(address, path, id string) error {
	if _, err := duty.ParseID(id); err != nil {
		return usageError{err}
	}
	return callController(fasthttp.MethodPost, address, path+"?duty="+url.QueryEscape(id), &struct{}{})
}

// reportCommand writes the recorded history of duties to an archive, an HTML page or
// both.
type reportCommand struct {
	From    []string `help:"Addresses of the controllers to read the history from." placeholder:"HOST:PORT"`
	Read    string   `help:"Archive to read the history from instead." type:"path" placeholder:"FILE"`
	Archive string   `help:"Archive (Parquet) to write." type:"path" placeholder:"FILE"`
	HTML    string   `help:"HTML page to write." type:"path" placeholder:"FILE"`
}

// Validate implements kong's interface for validating arguments.
func (r *reportCommand) Validate() error {
	switch {
	case (len(r.From) == 0) == (r.Read == ""):
		return errors.New("either --from or --read must be given")
	case r.Archive == "" && r.HTML == "":
		return errors.New("--archive, --html or both must be given")
	}
	return nil
}

// Run implements kong's interface for commands.
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
		return fmt.Errorf("creating the HTML page: %w", err)
	}
	return errors.Join(dutyreport.WritePage(file, events), file.Close())
}

// events returns the history, read from the archive if one is given and otherwise from
// the controllers.
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
