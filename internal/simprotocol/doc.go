// Package simprotocol is the edge between the simulator and the engine (policy.Engine): it parses the line protocol
// of WIRE-bellwood into the events and settings of package policy, and prints policy's actions as lines. It decides nothing.
//
// The protocol and the settings have words of their own (worth, aim, effect, keyed, HAND_OFF, ...). They stand in this
// package and nowhere else in the program; docs/GLOSSARY.md sets them beside the program's terms. An instance, the
// protocol's word for a simulated gateway, keeps that name here.
//
//	parse.go      Reader: lines into batches of items; one parser for each message
//	fields.go     the fields of a line, by position
//	print.go      AppendAction: an action into a line
//	settings.go   ParseSettings: path=value settings into policy.Settings
//	transport.go  Transport: the settings that concern sockets and names
//	values.go     the values of settings, by path
//	words.go      the words of the protocol and of the settings, and what they stand for
//	errors.go     what can't be read, and where
package simprotocol
