package daydraw

import "slices"

// field is a figure of a trouble and the range that it is drawn from.
type field struct {
	name     string
	from, to float64
}

func lasts(from, to float64) field   { return field{"for_s", from, to} }
func share(from, to float64) field   { return field{"share", from, to} }
func strong(from, to float64) field  { return field{"x", from, to} }
func pauses(from, to float64) field  { return field{"gap_s", from, to} }
func numbers(from, to float64) field { return field{"count", from, to} }

// place says what else a trouble names.
type place int

const (
	placeNone place = iota
	placeZone
	placeService
	placeClass
	placeBetweenZones // a zone and another one
)

// kind is one kind of trouble with the variants that may be drawn.
type kind struct {
	name   string
	on     string // class of machines, empty for the usual one
	hows   []string
	fields []field
	place  place
	weight int // how often it is drawn, against others
	zones  int // drawn only for sites of so many zones at least
}

// afterCut are what may happen at a machine as it comes back.
var afterCut = []string{"", " race", " meet", " drain", " race drain hard", " meet hard"}

// withEach returns every variant with every addition.
func withEach(variants []string, additions []string) []string {
	var all []string
	for _, variant := range variants {
		for _, addition := range additions {
			all = append(all, variant+addition)
		}
	}
	return all
}

// manyZones is how many zones a grown site has at least.
const manyZones = 4

// fitting are the kinds that may be drawn for a site.
func fitting(kinds []kind, site *Site) []kind {
	return slices.DeleteFunc(kinds, func(each kind) bool { return len(site.Zones) < each.zones })
}

// faultKinds are unplanned troubles. Those of the control side weigh more.
func faultKinds() []kind {
	return []kind{
		{name: "core_cut", hows: withEach([]string{"", "leader", "reader", "giver", "leader one_way", "all", "near", "seeds", "both", "lure", "relieve", "split", "behind", "oldest", "leader refuse", "leader reset", "all one_way"}, afterCut), fields: []field{lasts(2, 20)}, weight: 9},
		{name: "node_kill", on: "core", hows: withEach([]string{"", "power", "leader", "power leader", "seed", "giver", "reader"}, afterCut), fields: []field{lasts(1, 6), numbers(1, 1)}, weight: 5},
		{name: "after_ack_kill", hows: []string{"", "kill", "timed", "timed kill"}, fields: []field{lasts(1, 4)}, weight: 4},
		{name: "after_ack_wipe", hows: []string{"", "oldest"}, fields: []field{lasts(1, 4)}, weight: 4},
		{name: "herd_kill", on: "core", hows: []string{"", "off"}, fields: []field{lasts(1, 3)}, weight: 3},
		{name: "replace_core", hows: []string{"", "planned", "oldest", "planned oldest"}, fields: []field{strong(0.5, 4)}, weight: 4},
		{name: "disk_slow", fields: []field{strong(10, 60), lasts(2, 8), numbers(1, 1)}, weight: 2},
		{name: "disk_stall", fields: []field{lasts(1, 6), numbers(1, 1)}, weight: 2},
		{name: "disk_full", fields: []field{lasts(2, 6), numbers(1, 1)}, weight: 2},
		{name: "clock_step", hows: []string{"", "back", "ahead"}, fields: []field{share(0.2, 1), strong(500, 9000), lasts(3, 10)}, weight: 2},
		{name: "ack_lost", fields: []field{strong(0.4, 0.9), lasts(4, 15)}, weight: 4},
		{name: "node_freeze", on: "core", fields: []field{lasts(1, 6), numbers(1, 1)}, weight: 3},
		{name: "node_slow", on: "core", fields: []field{strong(3, 8), lasts(2, 6), numbers(1, 1)}, weight: 2},
		{name: "node_freeze", fields: []field{share(0.1, 0.3), lasts(1, 5)}, weight: 1},
		{name: "node_slow", fields: []field{share(0.1, 0.3), strong(3, 6), lasts(2, 5)}, weight: 1},
		{name: "node_cut", hows: []string{"", "all", "servers"}, fields: []field{share(0.1, 0.4), lasts(2, 12)}, weight: 3},
		{name: "region_cut", hows: withEach([]string{"", "one_way", "pair", "all"}, afterCut), fields: []field{lasts(2, 10)}, weight: 3},
		{name: "region_loss", hows: afterCut, fields: []field{lasts(2, 8)}, weight: 2},
		{name: "zone_cut", fields: []field{lasts(2, 10)}, place: placeZone, weight: 2},
		{name: "zone_loss", fields: []field{lasts(2, 8)}, place: placeZone, weight: 2},
		{name: "seed_turnover", weight: 2},
		{name: "reset_conns", fields: []field{share(0.1, 0.6), strong(0.3, 1)}, weight: 2},
		{name: "hup", fields: []field{share(0.2, 1), pauses(0.5, 3)}, weight: 1},
		{name: "node_kill", hows: []string{"", "power"}, fields: []field{share(0.1, 0.4), lasts(1, 5)}, weight: 2},
		{name: "herd_kill", hows: []string{"", "power"}, fields: []field{share(0.4, 0.9), lasts(1, 3)}, weight: 1},
		{name: "srv_crash", hows: []string{"", "dark", "gone"}, fields: []field{share(0.1, 0.3), lasts(2, 8)}, place: placeService, weight: 2},
		{name: "srv_grey", hows: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}, fields: []field{share(0.1, 0.25), strong(0.3, 0.6), lasts(3, 8)}, weight: 1},
		{name: "srv_cut", hows: []string{"", "fronts", "some", "one_way", "reset"}, fields: []field{share(0.1, 0.3), strong(0.2, 0.4), lasts(2, 8)}, weight: 2},
		{name: "replace_with_reuse", hows: []string{"", "drain", "dark"}, fields: []field{share(0.1, 0.25)}, weight: 2},
		{name: "cold_return", hows: []string{"", "dark"}, fields: []field{lasts(2, 5)}, place: placeZone, weight: 1},
		{name: "garble", hows: []string{"extra", "unframed", "early", "extra late"}, fields: []field{share(0.3, 0.7), strong(0.02, 0.05), lasts(3, 8)}, weight: 1},
		{name: "answer_lost", hows: []string{"", "reset"}, fields: []field{share(0.3, 0.6), strong(0.02, 0.06), lasts(3, 8)}, weight: 1},
		{name: "burst", fields: []field{strong(1.5, 2.5), lasts(4, 9)}, place: placeClass, weight: 1},
		{name: "shift", fields: []field{share(0.3, 0.6), lasts(3, 8)}, weight: 1},
		{name: "scale_in", hows: []string{"", "spot"}, fields: []field{share(0.1, 0.2), strong(1.5, 2.5)}, place: placeService, weight: 1},
		{name: "give_up", fields: []field{share(0.2, 0.6), lasts(3, 8)}, weight: 1},
		{name: "add_nodes", on: "core", weight: 1},
		{name: "add_nodes", weight: 1, zones: manyZones},
		{name: "bridge_cut", fields: []field{lasts(3, 9)}, place: placeBetweenZones, weight: 2, zones: manyZones},
		{name: "srv_lying_health", hows: []string{"errors", "hang", "reset", "bad"}, fields: []field{share(0.05, 0.2), lasts(3, 8)}, weight: 1, zones: manyZones},
		{name: "srv_flap", fields: []field{share(0.05, 0.15), pauses(1, 2), lasts(3, 8)}, weight: 1, zones: manyZones},
		{name: "retry_abuse", fields: []field{share(0.2, 0.5), strong(2, 4), lasts(3, 8)}, weight: 1},
	}
}

// planKinds are planned work.
func planKinds() []kind {
	return []kind{
		{name: "config_change", hows: []string{"route", "weights", "timeout", "idle"}, weight: 3},
		{name: "config_storm", hows: []string{"", "idle"}, fields: []field{lasts(2, 8), pauses(0.08, 0.6)}, weight: 5},
		{name: "config_race", fields: []field{numbers(1, 4), pauses(0.4, 1.5)}, weight: 5},
		{name: "bad_config", hows: []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match"}, fields: []field{numbers(1, 3), pauses(0.5, 1)}, weight: 2},
		{name: "evacuate", hows: []string{"", "warm"}, fields: []field{lasts(3, 9)}, place: placeZone, weight: 2},
		{name: "roll_term", hows: []string{"", "busy"}, fields: []field{share(0.3, 1), strong(1, 1), pauses(0.8, 1.6)}, weight: 2},
		{name: "roll_term", on: "core", fields: []field{share(0.3, 1), strong(1, 1), pauses(2, 6)}, weight: 4},
		{name: "release", fields: []field{share(0.3, 0.5), strong(1, 1), pauses(0.7, 1.2)}, place: placeService, weight: 2},
	}
}

// closings are the ways in which a day may end.
func closings() []kind {
	return []kind{
		{name: "power_off_all", fields: []field{{"down_s", 0.5, 2}}, weight: 2},
		{name: "kill_all", fields: []field{{"down_s", 0.5, 2}}, weight: 1},
		{name: "wipe_after_ack", hows: []string{"", "timed", "oldest", "aimed"}, fields: []field{{"down_s", 0.5, 2}}, weight: 4},
	}
}
