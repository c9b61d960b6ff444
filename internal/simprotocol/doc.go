// Package simprotocol connects the simulator to the engine (policy.Engine). It parses the line protocol of WIRE-bellwood
// into the events and settings of package policy, and formats policy's actions as protocol lines. It makes no decisions.
//
// The protocol and the settings have a vocabulary of their own (worth, target-us, effect, keyed, HAND_OFF, ...).
// docs/GLOSSARY.md maps it to the terms of the program. Only this package translates it, except that cmd/simadapter itself
// writes YIELD, the last line of a reply. Other packages use these words only in the paths and values of settings, as in
// errors and in generated configurations. "Instance", the protocol's word for a simulated gateway, is also used for
// identifiers here.
//
//	parse.go      Reader: parses lines into batches of items, with one parser for each message
//	fields.go     reads the fields of a line in order
//	print.go      AppendAction: formats an action as a line
//	settings.go   ParseSettings: parses path=value settings into policy.Settings
//	transport.go  Transport: the settings for sockets and names
//	values.go     reads the values of settings by path
//	words.go      the words of the protocol and the settings, mapped to values of package policy
//	errors.go     errors for invalid lines, fields and settings
package simprotocol
