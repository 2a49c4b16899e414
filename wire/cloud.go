package wire

// Paths of the cloud's HTTP interface.
const (
	PathTypes    = "/flavors"
	PathMachines = "/rentals"
	PathReturn   = "/rentals/return"
)

// NoCapacity is the error text of the response to a rental for which the cloud has
// no machine available (HTTP 503).
const NoCapacity = "no capacity"

// Limits of the cloud's interface: the maximum numbers of machines in one rental, in
// one return and on one page of the list.
const (
	MaxRent     = 50
	MaxReturn   = 100
	MaxListPage = 500
)

// MachineType is a type of machine that the cloud rents out.
//
// CacheGB is the capacity of the machine's image cache, FetchGBPerS the speed at which
// it fetches images. Prices are per hour. BootS is the usual time in seconds from the
// rental until the machine is up.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"accelerators"`
	MemoryGB    float64  `json:"ram_gb"`
	CacheGB     float64  `json:"local_gb"`
	FetchGBPerS float64  `json:"pull_gb_per_s"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"market_price"`
	BootS       float64  `json:"ready_s"`
	Zones       []string `json:"marshes"`
}

// MachineTypes is the list of machine types that the cloud offers.
type MachineTypes struct {
	Types []MachineType `json:"breeds"`
}

// RentRequest is a request to rent Count machines. RequestID makes the rental
// idempotent: it must never be reused for another rental.
type RentRequest struct {
	RequestID string `json:"tender"`
	Type      string `json:"breed"`
	Zone      string `json:"marsh"`
	Spot      bool   `json:"drift"`
	Count     int    `json:"how_many"`
}

// MachineNames is the response to a rental and the request body of a return.
type MachineNames struct {
	Machines []string `json:"perches"`
}

// MachineState is the cloud's view of a machine.
type MachineState string

// The states of a machine in the cloud's list.
const (
	MachineBooting MachineState = "starting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// Machine is one entry of the cloud's list. AgeS is the time in seconds from the request
// of the rental to the time of the list.
type Machine struct {
	ID      string       `json:"uid"`
	Address string       `json:"address"`
	Type    string       `json:"breed"`
	Zone    string       `json:"marsh"`
	Spot    bool         `json:"drift"`
	State   MachineState `json:"stance"`
	AgeS    float64      `json:"held_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"perches"`
	More     bool      `json:"has_next"`
}
