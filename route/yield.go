package route

// Where memory is scarce, who may take the last of it is decided by trunk reservation
// (Key, 1990), between the teams of a service as between the priorities of Headroom: a
// request of a team that has used up what it may leaves more of an engine free than one of
// a team that has asked for little. With room to spare nobody notices. Beside a team that
// asks for five times as much, half as much again as engines can hold, 0.904 of the streams
// of a quiet one are in time, 0.642 where none yields; of all 0.679 and 0.651
// (TestAQuietTeamFindsRoomBesideAHotOne).

// Yield returns what a request leaves free, as a multiple of what any must. used is the
// part of its team's allotment that is used up, from 0 to 1; weight is what that adds at
// the most.
func Yield(used, weight float64) float64 {
	return 1 + weight*min(max(used, 0), 1)
}
