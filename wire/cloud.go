package wire

// Paths of the cloud.
const (
	PathTypes    = "/flavors"
	PathMachines = "/rentals"
	PathReturn   = "/rentals/return"
)

// NoCapacity is the error text of a rental for which the cloud has no machine
// (HTTP 503).
const NoCapacity = "no capacity"

// Limits of the cloud's interface: machines in one rental, one return and one
// page of the list.
const (
	MaxRent     = 50
	MaxReturn   = 100
	MaxListPage = 500
)

// MachineType is a type of machine that the cloud rents.
//
// CacheGB is how much its image cache holds, FetchGBPerS how fast it fetches
// images; prices are those of an hour; BootS is the usual time in seconds from the
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

// MachineTypes lists the types on offer.
type MachineTypes struct {
	Types []MachineType `json:"breeds"`
}

// RentRequest asks for machines. RequestID makes the rental idempotent: it must
// never be used again for another one.
type RentRequest struct {
	RequestID string `json:"tender"`
	Type      string `json:"breed"`
	Zone      string `json:"marsh"`
	Spot      bool   `json:"drift"`
	Count     int    `json:"how_many"`
}

// MachineNames is the answer to a rental and the request of a return.
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

// Machine is one entry of the cloud's list; AgeS is the time in seconds since the
// rental was requested, as of the moment of the list.
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
