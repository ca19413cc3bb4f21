package checker

// keyUse is the first place of a key, and the place of its team.
type keyUse struct {
	team  string
	place string
}
