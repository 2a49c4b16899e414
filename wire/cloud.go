package wire

// Paths of the cloud.
const (
	PathTypes    = "/flavors"
	PathMachines = "/rentals"
	PathReturn   = "/rentals/return"
)

// Limits of the cloud's interface.
const (
	MaxRent     = 50
	MaxReturn   = 100
	MaxListPage = 500
)

// MachineType is a type of machine that the cloud rents.
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

// RentRequest asks for machines. Request must never be used again for
// another rental.
type RentRequest struct {
	Request string `json:"tender"`
	Type    string `json:"breed"`
	Zone    string `json:"marsh"`
	Spot    bool   `json:"drift"`
	Count   int    `json:"how_many"`
}

// MachineNames answers a rental, and asks for a return.
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

// Machine is one entry of the cloud's list.
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
