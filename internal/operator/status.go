package operator

// Status is what one control process says of itself and of the system as it sees it: the answer to GET /status.
type Status struct {
	Node       string    `json:"node"`
	Identity   string    `json:"identity"` // of its store
	Role       string    `json:"role"`     // in the chain
	Fresh      bool      `json:"fresh"`    // it heard a moment ago that its view is in force
	View       View      `json:"view"`
	Position   uint64    `json:"position"`  // of the last entry of its log
	Committed  uint64    `json:"committed"` // of the last entry that is committed
	Impaired   bool      `json:"impaired"`  // its disk does not keep up
	Failed     bool      `json:"failed"`    // its last write failed
	Generation uint64    `json:"generation"`
	Evacuated  []string  `json:"evacuated"`
	Members    []Member  `json:"members"`
	Services   []Service `json:"services"`
	Followers  int       `json:"followers"` // relays that it feeds
}

// View is who votes and who forms the chain, by name, in the chain's order.
type View struct {
	Epoch  uint64   `json:"epoch"`
	Voters []string `json:"voters"`
	Chain  []string `json:"chain"`
}

// Member is one process of the system.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	Status  string `json:"status"`
	Serving bool   `json:"serving"`
	Front   string `json:"front,omitempty"`   // where a relay serves clients
	Control string `json:"control,omitempty"` // where a control process takes orders
}

// Service counts the endpoints of one service by their state.
type Service struct {
	Name     string `json:"name"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Silent   int    `json:"silent"`
	Gone     int    `json:"gone"`
	Cold     int    `json:"cold"` // of those that are ready
}
