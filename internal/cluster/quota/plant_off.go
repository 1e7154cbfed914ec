//go:build !plant

package quota

// plants are faults for the proving ground to catch; a program that is built without the tag has none.
var plants struct{ margin, early, forget, floors bool }
